/* process.h - child processes of tests, found by BIN_DIR. */
#ifndef TESTS_PROCESS_H
#define TESTS_PROCESS_H

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

/* A child process that is killed when the object goes. */
class Process
{
      public:
	/*
	 * Starts BIN_DIR/binary and waits for its first line of output,
	 * which has "name=value" fields.
	 */
	Process(const std::string &binary,
		const std::vector<std::string> &args);
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	/* Kills the child and waits for its end. */
	void stop();
	/* Sends a signal. */
	void signal(int number);
	/* Waits for the child's end; returns its exit code, -1: a signal. */
	int wait_exit();
	/* Value of a field of the ready line, or "". */
	std::string field(const std::string &name) const;
	/* "127.0.0.1:" and the port in that field. */
	std::string address(const std::string &name) const;

      private:
	pid_t pid_ = -1;
	int out_ = -1;
	std::string ready_;
};

/* A TCP connection on which one line is sent and lines are read. */
class LineClient
{
      public:
	explicit LineClient(const std::string &address);
	~LineClient();
	LineClient(const LineClient &) = delete;
	LineClient &operator=(const LineClient &) = delete;

	/* Sends a line and returns the first line of the answer. */
	std::string ask(const std::string &line);
	/* Sends a line and returns the lines after the first, up to ".". */
	std::vector<std::string> ask_lines(const std::string &line);

      private:
	std::string read_line();

	int fd_ = -1;
	std::string in_;
};

#endif

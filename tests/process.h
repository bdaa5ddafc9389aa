/* process.h - child processes that tests start from the directory BIN_DIR. */
#ifndef TESTS_PROCESS_H
#define TESTS_PROCESS_H

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

/* A child process, which is killed when the object is destroyed. */
class Process
{
      public:
	/*
	 * Starts BIN_DIR/binary and waits for its first line of output, the
	 * ready line, which has "name=value" fields.
	 */
	Process(const std::string &binary,
		const std::vector<std::string> &args);
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	/* Kills the child with SIGKILL and waits until it has ended. */
	void kill_and_wait();
	void send_signal(int number);
	/*
	 * Waits until the child has ended. Returns its exit code, or -1 if a
	 * signal ended it.
	 */
	int wait_exit();
	/* Returns the value of a field of the ready line, or "". */
	std::string field(const std::string &name) const;
	/* Returns "127.0.0.1:" and the port in that field. */
	std::string address(const std::string &name) const;

      private:
	pid_t pid_ = -1;
	int stdout_fd_ = -1;
	std::string ready_line_;
};

/* A TCP connection to the control port of a stand-in; commands are lines. */
class LineClient
{
      public:
	explicit LineClient(const std::string &address);
	~LineClient();
	LineClient(const LineClient &) = delete;
	LineClient &operator=(const LineClient &) = delete;

	/* Sends a command and returns the first line of the answer. */
	std::string send_command(const std::string &line);
	/*
	 * Sends a command and returns the lines of the answer after the first,
	 * up to a line ".".
	 */
	std::vector<std::string> send_list_command(const std::string &line);

      private:
	std::string read_line();

	int fd_ = -1;
	std::string received_;
};

#endif

/* cli_child.h - runs the zinnialine binary as a child process of a test. */
#ifndef CLI_CHILD_H
#define CLI_CHILD_H

#include <gtest/gtest.h>

#include <cerrno>
#include <cstdlib>
#include <fcntl.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

/*
 * Starts $BIN_DIR/zinnialine (build/release if unset) with `args`, writes
 * `input` to its standard input and collects its output.
 */
class CliChild
{
      public:
	explicit CliChild(std::vector<std::string> args,
			  const std::string &input = "")
	{
		const char *dir = getenv("BIN_DIR");
		std::vector<char *> argv;
		int in[2];
		int out[2];

		args.insert(args.begin(),
			    std::string(dir ? dir : "build/release") +
				    "/zinnialine");
		for (std::string &a : args)
			argv.push_back(&a[0]);
		argv.push_back(nullptr);
		EXPECT_EQ(0, pipe(in));
		EXPECT_EQ(0, pipe(out));
		pid_ = fork();
		if (!pid_)
			execute(argv.data(), in, out);
		close(in[0]);
		close(out[1]);
		EXPECT_EQ((ssize_t)input.size(),
			  write(in[1], input.data(), input.size()));
		close(in[1]);
		fd_ = out[0];
		fcntl(fd_, F_SETFL, O_NONBLOCK);
	}

	~CliChild()
	{
		close(fd_);
	}

	/*
	 * Reads the output available now, without waiting. Returns true at
	 * the end of the output.
	 */
	bool read_available_output()
	{
		char buf[4096];
		ssize_t n;

		while ((n = read(fd_, buf, sizeof(buf))) > 0)
			output_.append(buf, n);
		return n == 0;
	}

	/*
	 * Waits for the child and returns its exit code, or -1 if a signal
	 * ended it. To be called once, when read_available_output() has returned true.
	 */
	int wait_exit()
	{
		int status = 0;

		EXPECT_EQ(pid_, waitpid(pid_, &status, 0));
		return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	}

	/* Standard output and error together. */
	const std::string &output() const
	{
		return output_;
	}

      private:
	[[noreturn]] static void execute(char *const *argv, const int *in,
					 const int *out)
	{
		dup2(in[0], STDIN_FILENO);
		dup2(out[1], STDOUT_FILENO);
		dup2(out[1], STDERR_FILENO);
		for (int fd : { in[0], in[1], out[0], out[1] })
			close(fd);
		execv(argv[0], argv);
		_exit(127);
	}

	pid_t pid_ = -1;
	int fd_ = -1;
	std::string output_;
};

#endif

/* platform_process.h - runs standin-platform as a child process for tests. */
#ifndef TESTS_PLATFORM_PROCESS_H
#define TESTS_PLATFORM_PROCESS_H

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

/* Runs until it is destroyed; the system chooses its two ports. */
class PlatformProcess
{
      public:
	explicit PlatformProcess(const std::vector<std::string> &extra = {})
	{
		int out[2];

		if (pipe(out))
			abort();
		pid_ = fork();
		if (!pid_)
			run(out, extra);
		close(out[1]);
		read_ready_line(out[0]);
		close(out[0]);
		connect_control();
	}

	PlatformProcess(const PlatformProcess &) = delete;
	PlatformProcess &operator=(const PlatformProcess &) = delete;

	~PlatformProcess()
	{
		kill();
		if (control_ >= 0)
			close(control_);
	}

	void kill()
	{
		if (pid_ <= 0)
			return;
		::kill(pid_, SIGKILL);
		waitpid(pid_, nullptr, 0);
		pid_ = -1;
	}

	std::string address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

	/*
	 * Sends a line to the control port and returns what follows "ok " in
	 * the answer. The test fails if the answer is not "ok".
	 */
	std::string send_command(const std::string &line)
	{
		std::string answer;
		std::string text = line + "\n";
		char c;

		EXPECT_EQ((ssize_t)text.size(),
			  send(control_, text.data(), text.size(),
			       MSG_NOSIGNAL));
		while (recv(control_, &c, 1, 0) == 1 && c != '\n')
			answer += c;
		EXPECT_EQ("ok", answer.substr(0, 2)) << line;
		return answer.size() > 3 ? answer.substr(3) : "";
	}

      private:
	pid_t pid_ = -1;
	unsigned port_ = 0;
	unsigned control_port_ = 0;
	int control_ = -1;

	[[noreturn]] static void run(int out[2],
				     const std::vector<std::string> &extra)
	{
		const char *dir = getenv("BIN_DIR");
		std::string path =
			std::string(dir ? dir : ".") + "/standin-platform";
		std::vector<char *> args = { &path[0] };

		for (const std::string &a : extra)
			args.push_back(const_cast<char *>(a.c_str()));
		args.push_back(nullptr);
		/* The child is killed when the test process crashes. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(out[1], STDOUT_FILENO);
		close(out[0]);
		close(out[1]);
		execv(path.c_str(), args.data());
		_exit(127);
	}

	void read_ready_line(int fd)
	{
		FILE *f = fdopen(dup(fd), "r");

		if (fscanf(f, "ready listen=%u control=%u", &port_,
			   &control_port_) != 2)
			ADD_FAILURE() << "standin-platform did not start";
		fclose(f);
	}

	void connect_control()
	{
		struct sockaddr_in addr = {};

		addr.sin_family = AF_INET;
		addr.sin_port = htons(control_port_);
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		control_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		EXPECT_EQ(0, connect(control_, (struct sockaddr *)&addr,
				     sizeof(addr)));
	}
};

#endif

#include "process.h"

#include <arpa/inet.h>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

static std::string make_binary_path(const std::string &binary)
{
	const char *dir = getenv("BIN_DIR");

	return std::string(dir ? dir : "build/release") + "/" + binary;
}

/* Reads one line without its newline; "" at the end of the file. */
static std::string read_line_from_fd(int fd)
{
	std::string line;
	char c;

	while (read(fd, &c, 1) == 1) {
		if (c == '\n')
			return line;
		line += c;
	}
	return "";
}

Process::Process(const std::string &binary,
		 const std::vector<std::string> &args)
{
	std::string path = make_binary_path(binary);
	std::vector<char *> argv = { const_cast<char *>(path.c_str()) };
	int fds[2];

	for (const std::string &a : args)
		argv.push_back(const_cast<char *>(a.c_str()));
	argv.push_back(nullptr);
	if (pipe2(fds, O_CLOEXEC))
		abort();
	pid_ = fork();
	if (pid_ == 0) {
		/* The child is killed when the test process ends or crashes. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fds[1], STDOUT_FILENO);
		execv(path.c_str(), argv.data());
		_exit(127);
	}
	close(fds[1]);
	stdout_fd_ = fds[0];
	ready_line_ = read_line_from_fd(stdout_fd_);
}

Process::~Process()
{
	kill_and_wait();
	close(stdout_fd_);
}

void Process::kill_and_wait()
{
	if (pid_ <= 0)
		return;
	kill(pid_, SIGKILL);
	waitpid(pid_, nullptr, 0);
	pid_ = -1;
}

void Process::send_signal(int number)
{
	if (pid_ > 0)
		kill(pid_, number);
}

int Process::wait_exit()
{
	int status = 0;

	waitpid(pid_, &status, 0);
	pid_ = -1;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string Process::field(const std::string &name) const
{
	std::string key = " " + name + "=";
	size_t at = ready_line_.find(key);

	if (at == std::string::npos)
		return "";
	at += key.size();
	return ready_line_.substr(at, ready_line_.find(' ', at) - at);
}

std::string Process::address(const std::string &name) const
{
	return "127.0.0.1:" + field(name);
}

LineClient::LineClient(const std::string &address)
{
	size_t colon = address.rfind(':');
	struct sockaddr_in sa = {};

	sa.sin_family = AF_INET;
	sa.sin_port =
		htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
	inet_pton(AF_INET, address.substr(0, colon).c_str(), &sa.sin_addr);
	fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(fd_, reinterpret_cast<struct sockaddr *>(&sa), sizeof(sa)))
		abort();
}

LineClient::~LineClient()
{
	close(fd_);
}

std::string LineClient::read_line()
{
	size_t end;

	while ((end = received_.find('\n')) == std::string::npos) {
		char buf[4096];
		ssize_t n = read(fd_, buf, sizeof(buf));

		if (n <= 0)
			return "";
		received_.append(buf, static_cast<size_t>(n));
	}
	std::string line = received_.substr(0, end);
	received_.erase(0, end + 1);
	return line;
}

std::string LineClient::send_command(const std::string &line)
{
	std::string text = line + "\n";

	if (send(fd_, text.data(), text.size(), MSG_NOSIGNAL) < 0)
		return "";
	return read_line();
}

std::vector<std::string> LineClient::send_list_command(const std::string &line)
{
	std::vector<std::string> lines;
	std::string l = send_command(line);

	while (!l.empty() && (l = read_line()) != ".")
		lines.push_back(l);
	return lines;
}

#include "fleet.h"

#include <dirent.h>
#include <fcntl.h>
#include <fstream>
#include <glib.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace
{

const int FIRST_PORT = 17001; /* below those that the system chooses */
const int64_t PROBE_US = 250 * MS;
const int64_t PROBE_TIMEOUT_US = 500 * MS;
const int64_t RESTART_US = 700 * MS;
const int64_t GRACE_US = 6 * SECOND;

} // namespace

Fleet::Fleet(FleetOptions options, const Store &s) : opts(std::move(options))
{
	int pid = getpid();

	host = "127." + std::to_string(100 + pid % 100) + "." +
	       std::to_string(1 + pid / 100 % 250) + ".";
	for (size_t i = 0; i < opts.zones.size(); i++) {
		instances.push_back(std::make_unique<Instance>());
		write_settings(i, s);
	}
	prober = std::thread([this] { probe(); });
}

Fleet::~Fleet()
{
	ends = true;
	prober.join();
	for (auto &n : instances) {
		if (n->pid <= 0)
			continue;
		::kill(n->pid, SIGKILL);
		waitpid(n->pid, nullptr, 0);
	}
}

Address Fleet::address(size_t i, Listener l) const
{
	return { host + std::to_string(i + 1),
		 static_cast<uint16_t>(FIRST_PORT + static_cast<int>(l)) };
}

std::string Fleet::settings_path(size_t i) const
{
	return opts.directory + "/instance-" + std::to_string(i) + ".yaml";
}

std::string Fleet::log_path(size_t i) const
{
	return opts.directory + "/instance-" + std::to_string(i) + ".log";
}

void Fleet::write_settings(size_t i, const Store &s)
{
	static const char *const names[LISTENERS] = { "callers", "ready",
						      "metrics", "peers",
						      "relay" };
	std::ofstream out(settings_path(i));

	out << "instance:\n  name: entry-" << i << "\n  zone: " << opts.zones[i]
	    << "\nlisten:\n";
	for (int l = 0; l < LISTENERS; l++)
		out << "  " << names[l] << ": "
		    << address(i, static_cast<Listener>(l)).text() << "\n";
	out << "platform:\n  store: " << s.address(i).text()
	    << "\n  promotions: " << s.address(i).text()
	    << "\nkeys:\n  withdrawn_after_ms: 5000\n"
	       "config:\n  applied_within_ms: 3000\n"
	       "limits:\n  window_s: 5\n  overrun: 0.1\n  slack: 20\n"
	       "failover:\n  replica_wait_s: 6\n"
	       "shutdown:\n  grace_s: 6\n"
	       "log:\n  format: text\n  level: info\n";
}

void Fleet::disturb(size_t i, Disturbance::Scope scope)
{
	Instance &n = *instances[i];

	if (n.disturbed)
		history.end_disturbance(n.disturbance);
	n.disturbance = history.begin_disturbance(scope, static_cast<int>(i));
	n.disturbed = true;
}

void Fleet::start(size_t i)
{
	Instance &n = *instances[i];
	std::string settings = "ZINNIALINE_SETTINGS=" + settings_path(i);
	std::string log = log_path(i);
	char command[] = "proxy";
	char *args[] = { &opts.binary[0], command, nullptr };
	char path[] = "PATH=/usr/bin:/bin";
	char *env[] = { &settings[0], path, nullptr };
	pid_t pid = fork();

	if (!pid) {
		int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execve(opts.binary.c_str(), args, env);
		_exit(127);
	}
	n.pid = pid;
	n.incarnation++;
	n.stopping = false;
	n.paused = false;
	n.stopped_us = 0;
	n.start_at_us = 0;
	if (n.disturbed)
		history.end_disturbance(n.disturbance);
	n.disturbed = false;
}

void Fleet::pause(size_t i)
{
	if (!is_running(i) || instances[i]->stopping)
		return;
	disturb(i, Disturbance::INSTANCE);
	instances[i]->paused = true;
	::kill(instances[i]->pid, SIGSTOP);
}

void Fleet::resume(size_t i)
{
	if (!is_running(i) || !instances[i]->paused)
		return;
	instances[i]->paused = false;
	::kill(instances[i]->pid, SIGCONT);
	history.end_disturbance(instances[i]->disturbance);
	instances[i]->disturbed = false;
}

void Fleet::kill(size_t i)
{
	int status = 0;

	if (!is_running(i))
		return;
	disturb(i, Disturbance::INSTANCE);
	instances[i]->restart = true;
	::kill(instances[i]->pid, SIGKILL);
	waitpid(instances[i]->pid, &status, 0);
	instances[i]->pid = -1;
	instances[i]->misses = MISSES_MAX;
	instances[i]->start_at_us = now_us() + RESTART_US;
}

void Fleet::stop(size_t i, bool restart)
{
	Instance &n = *instances[i];

	if (!is_running(i) || n.stopping || n.paused)
		return;
	disturb(i, Disturbance::PLANNED_STOP);
	n.stopping = true;
	n.restart = restart;
	n.stopped_us = now_us();
	::kill(n.pid, SIGTERM);
}

void Fleet::note_end(size_t i, int status)
{
	Instance &n = *instances[i];

	if (!n.stopping || !WIFEXITED(status) || WEXITSTATUS(status))
		history.fail("process", "instance " + std::to_string(i) +
						" ended by itself, status " +
						std::to_string(status));
	n.pid = -1;
	n.misses = MISSES_MAX;
	n.start_at_us = !n.stopping || n.restart ? now_us() + RESTART_US : 0;
}

void Fleet::poll()
{
	for (size_t i = 0; i < instances.size(); i++) {
		Instance &n = *instances[i];
		int status;

		if (is_running(i) && waitpid(n.pid, &status, WNOHANG) == n.pid)
			note_end(i, status);
		if (is_running(i) && n.stopping &&
		    now_us() > n.stopped_us + GRACE_US) {
			history.fail("planned stop",
				     "instance " + std::to_string(i) +
					     " still ran after its grace");
			kill(i);
		}
		if (!is_running(i) && n.start_at_us && now_us() > n.start_at_us)
			start(i);
	}
}

Level Fleet::level(size_t i) const
{
	std::string path = "/proc/" + std::to_string(instances[i]->pid);
	std::ifstream statm(path + "/statm");
	DIR *fds = opendir((path + "/fd").c_str());
	size_t pages = 0;
	Level out;

	statm >> pages >> pages;
	out.memory_kb =
		pages * static_cast<size_t>(sysconf(_SC_PAGESIZE)) / 1024;
	while (fds && readdir(fds))
		out.descriptors++;
	if (fds)
		closedir(fds);
	return out;
}

bool Fleet::ask_ready(size_t i)
{
	int fd = connect_to(address(i, Listener::READY), PROBE_TIMEOUT_US);
	std::string line;
	bool ok = false;

	if (fd < 0)
		return false;
	LineStream s(fd);
	if (s.write("GET /readyz HTTP/1.1\r\nHost: x\r\n"
		    "Connection: close\r\n\r\n") &&
	    s.read_line(&line, PROBE_TIMEOUT_US) == Received::LINE)
		ok = line.find(" 200") != std::string::npos;
	close(fd);
	return ok;
}

void Fleet::probe()
{
	while (!ends) {
		for (size_t i = 0; i < instances.size(); i++) {
			if (ask_ready(i))
				instances[i]->misses = 0;
			else if (instances[i]->misses < MISSES_MAX)
				instances[i]->misses++;
		}
		sleep_us(PROBE_US);
	}
}

size_t Fleet::pick()
{
	std::vector<size_t> ready;

	for (size_t i = 0; i < instances.size(); i++) {
		if (is_ready(i))
			ready.push_back(i);
	}
	/* With less than half in rotation, the platform uses all. */
	if (ready.size() * 2 < instances.size())
		return static_cast<size_t>(
			g_random_int_range(0,
					   static_cast<int>(instances.size())));
	return ready[static_cast<size_t>(
		g_random_int_range(0, static_cast<int>(ready.size())))];
}

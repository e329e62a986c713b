#include "Emulator/NodeProcess.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace pollenyoke::emulator
{

namespace
{

constexpr int exit_no_program = 127;

std::string describe_end(int status)
{
  if (WIFSIGNALED(status))
  {
    return std::string("signal ") + strsignal(WTERMSIG(status));
  }
  return "status " + std::to_string(WEXITSTATUS(status));
}

void wait_for_end_of_file(int descriptor)
{
  char byte = 0;
  while (::read(descriptor, &byte, 1) < 0 && errno == EINTR)
  {
  }
}

} // namespace

node_process::node_process(std::vector<std::string> command, std::string log)
    : m_command(std::move(command)), m_log(std::move(log))
{
}

node_process::~node_process()
{
  if (m_pid > 0)
  {
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
  }
}

/// Returns when the program runs or could not be started: until then the child has the memory and
/// the signal handlers of this process.
result<void> node_process::start()
{
  std::vector<char*> arguments;
  for (std::string& word : m_command)
  {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0)
  {
    return fail(error_code::unavailable, m_log + ": " + std::strerror(errno));
  }
  std::array<int, 2> until_exec{};
  if (::pipe2(until_exec.data(), O_CLOEXEC) != 0)
  {
    ::close(log);
    return fail(error_code::unavailable, std::string("pipe: ") + std::strerror(errno));
  }
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid == 0)
  {
    // Only calls that are safe between fork and exec in a program with threads.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent || ::dup2(log, STDOUT_FILENO) < 0 || ::dup2(log, STDERR_FILENO) < 0)
    {
      ::_exit(exit_no_program);
    }
    // Sockets of this process would stay open in the child.
    (void)::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    ::execv(arguments.front(), arguments.data());
    ::_exit(exit_no_program);
  }
  const int fork_error = errno;
  ::close(log);
  ::close(until_exec[1]);
  if (pid > 0)
  {
    wait_for_end_of_file(until_exec[0]);
  }
  ::close(until_exec[0]);
  if (pid < 0)
  {
    return fail(error_code::unavailable, std::string("fork: ") + std::strerror(fork_error));
  }
  m_pid = pid;
  return {};
}

void node_process::signal(int number)
{
  if (m_pid > 0)
  {
    ::kill(m_pid, number);
  }
}

std::optional<std::string> node_process::poll_end()
{
  int status = 0;
  if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
  {
    return std::nullopt;
  }
  m_pid = -1;
  return describe_end(status);
}

std::uint64_t node_process::resident_bytes() const
{
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace pollenyoke::emulator

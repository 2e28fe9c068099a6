// Starts child processes with posix_spawn and ends them with SIGKILL.
#include "process/ChildProcess.h"

#include "state/Check.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace Ebonystack {
namespace {

constexpr Duration pollPeriod = std::chrono::milliseconds(10);
constexpr int outputFileMode = 0644;

std::vector<char*> toArgv(const std::vector<std::string>& arguments)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const std::string& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    return argv;
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const std::string& outputFile)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, outputFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // An inherited socket would stay open when the parent closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const auto argv = toArgv(arguments);
    const int error = posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    userCheck(
        error == 0, "Could not start " + arguments.front() + ". If the program is missing, build it first.");
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_exitCode(other.m_exitCode)
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_exitCode, other.m_exitCode);
    return *this;
}

ChildProcess::~ChildProcess() { killAndWait(); }

void ChildProcess::killAndWait()
{
    if (m_pid < 0)
        return;
    kill(m_pid, SIGKILL);
    int status = 0;
    waitpid(m_pid, &status, 0);
    recordExitStatus(status);
}

void ChildProcess::recordExitStatus(int status)
{
    m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    m_pid = -1;
}

void ChildProcess::signal(int number)
{
    if (m_pid > 0)
        kill(m_pid, number);
}

std::optional<int> ChildProcess::exitCode()
{
    int status = 0;
    if (m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid)
        recordExitStatus(status);
    return m_exitCode;
}

std::optional<int> ChildProcess::waitForExit(Duration timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!exitCode() && std::chrono::steady_clock::now() < deadline)
        std::this_thread::sleep_for(pollPeriod);
    return m_exitCode;
}

} // namespace Ebonystack

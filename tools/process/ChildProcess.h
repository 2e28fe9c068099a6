// A child process of a tool or test, which does not outlive its ChildProcess object.
#pragma once

#include "state/Time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Ebonystack {

/// Not copyable. The destructor sends SIGKILL to the process and waits for its end.
class ChildProcess {
public:
    /// Starts `arguments[0]` and appends its standard output and error to `outputFile`. Throws UserError when
    /// the process cannot be started.
    ChildProcess(const std::vector<std::string>& arguments, const std::string& outputFile);
    ChildProcess(ChildProcess&&) noexcept;
    ChildProcess& operator=(ChildProcess&&) noexcept;
    ~ChildProcess();

    /// The id of the process, -1 once it has ended and `exitCode` has returned its status.
    pid_t id() const { return m_pid; }
    /// Sends a signal; does nothing once the process has ended and `exitCode` has returned its status.
    void signal(int number);
    /// -1 once `exitCode` has returned the status.
    pid_t pid() const { return m_pid; }
    /// Returns the exit code, or the negated signal number when a signal ended the process; nothing while
    /// it runs.
    std::optional<int> exitCode();
    /// Waits up to `timeout` for the end of the process; returns what `exitCode` does.
    std::optional<int> waitForExit(Duration timeout);

private:
    void recordExitStatus(int status);
    void killAndWait();

    pid_t m_pid { -1 }; // -1 once waitpid has returned the status
    std::optional<int> m_exitCode;
};

} // namespace Ebonystack

// A process that a tool or test started, ended with it at the latest.
#pragma once

#include "state/Time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Ebonystack {

/// Not copyable; the destructor kills the process and waits for it.
class ChildProcess {
public:
    /// Starts `arguments[0]` with both output streams written to `outputFile`. Throws UserError when it
    /// cannot be started.
    ChildProcess(const std::vector<std::string>& arguments, const std::string& outputFile);
    ChildProcess(ChildProcess&&) noexcept;
    ChildProcess& operator=(ChildProcess&&) noexcept;
    ~ChildProcess();

    void signal(int number);
    /// The exit code once the process has ended; minus the signal's number when a signal ended it.
    std::optional<int> exitCode();
    /// Waits for the end at most `timeout`.
    std::optional<int> waitForExit(Duration timeout);

private:
    void reap(int status);
    void killAndWait();

    pid_t m_pid { -1 }; // -1 once the process was waited for
    std::optional<int> m_exitCode;
};

} // namespace Ebonystack

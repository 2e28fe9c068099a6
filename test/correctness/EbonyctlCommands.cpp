// The commands of ebonyctl: output and exit code for given arguments, files and log lines.
#include "ebonyctl/Command.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace Ebonystack;

namespace {

struct Outcome {
    ExitCode code;
    std::string out;
    std::string error;
};

Outcome runCommand(const std::string& name, std::vector<std::string> arguments, const std::string& input = {})
{
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream error;
    CommandContext context { in, out, error, std::move(arguments) };
    const Command* command = findCommand(name);
    REQUIRE(command);
    const ExitCode code = command->run(context);
    return { code, out.str(), error.str() };
}

class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& text)
        : m_name(std::filesystem::temp_directory_path() / ("ebonyctl-" + std::to_string(getpid()) + ".json"))
    {
        std::ofstream(m_name) << text;
    }
    ~TemporaryFile() { std::filesystem::remove(m_name); }
    std::string name() const { return m_name.string(); }

private:
    std::filesystem::path m_name;
};

const std::string logText
    = R"(node-a {"time":1000,"event":"load","running":3,"shedShare":0.5})"
      "\n"
      R"(node-a {"time":1500,"event":"sent to upstream","request":"r1","vm":"10.0.0.2"})"
      "\n"
      R"(node-b {"time":1510,"event":"upstream did not answer","request":"r1","reason":"gate full"})"
      "\n"
      R"(node-c {"time":1520,"event":"refused","request":"r2","name":"ShedByWorth"})"
      "\n"
      R"(node-a {"time":1530,"event":"refused","request":"r1","name":"NoVmAvailable"})"
      "\nno line of a node\n";

} // namespace

TEST_CASE("check settings names every problem of a settings file")
{
    const TemporaryFile file(R"({"vm": 5, "colour": "red"})");
    const Outcome outcome = runCommand("check", { "settings", file.name() });
    CHECK(outcome.code == ExitCode::ProblemsFound);
    CHECK(outcome.out.find("/vm") != std::string::npos);
    CHECK(outcome.out.find("colour") != std::string::npos);
}

TEST_CASE("check config fails for a configuration without fields")
{
    const TemporaryFile file("{}");
    CHECK(runCommand("check", { "config", file.name() }).code == ExitCode::ProblemsFound);
}

TEST_CASE("wrong arguments and missing files give their exit codes, and an unknown command is not found")
{
    CHECK(runCommand("check", {}).code == ExitCode::Usage);
    CHECK(runCommand("check", { "poem", "x" }).code == ExitCode::Usage);
    CHECK(runCommand("check", { "settings", "/no/such/file" }).code == ExitCode::ProblemsFound);
    CHECK(runCommand("explain", {}).code == ExitCode::Usage);
    CHECK(findCommand("dance") == nullptr);
}

TEST_CASE("explain prints the log lines of one request in order of time, then the load that its nodes logged")
{
    const Outcome outcome = runCommand("explain", { "r1" }, logText);
    CHECK(outcome.code == ExitCode::Success);
    const auto sent = outcome.out.find("node-a  sent to upstream");
    const auto missed = outcome.out.find("node-b  upstream did not answer");
    const auto refused = outcome.out.find("node-a  refused");
    REQUIRE(sent != std::string::npos);
    CHECK(sent < missed);
    CHECK(missed < refused);
    CHECK(outcome.out.find("shedShare 0.5") > refused);
    CHECK(outcome.out.find("ShedByWorth") == std::string::npos);
}

TEST_CASE("explain fails for a request that no log line names")
{
    CHECK(runCommand("explain", { "r9" }, logText).code == ExitCode::ProblemsFound);
}

TEST_CASE("report names the results of refusals and the nodes, and fails without log lines")
{
    const Outcome outcome = runCommand("report", {}, logText);
    CHECK(outcome.code == ExitCode::Success);
    CHECK(outcome.out.find("ShedByWorth") != std::string::npos);
    CHECK(outcome.out.find("node-a") != std::string::npos);
    CHECK(runCommand("report", {}, "nothing\n").code == ExitCode::ProblemsFound);
}

TEST_CASE("codes prints the name of a result code and fails for an unknown number")
{
    CHECK(runCommand("codes", { "301" }).out.find("ShedByWorth") != std::string::npos);
    CHECK(runCommand("codes", { "1" }).code == ExitCode::ProblemsFound);
}

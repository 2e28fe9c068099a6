// The ebony-lab program: runs load scenarios in virtual time with the sidecar's own decision code.
#include "lab/ScenarioParser.h"
#include "lab/SimulationRun.h"
#include "transport/Log.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_uint64(seed, 1, "Seed of the first run. The same seed gives the same run.");
DEFINE_uint64(seeds, 1, "Number of runs of each scenario, with seeds counted up from --seed.");
DEFINE_bool(check, false, "Exit with code 1 when an expectation of the scenario is missed.");
DEFINE_string(without, "", "Part of the product to switch off: admission or gate.");
DEFINE_bool(timeline, false, "Print the requests of each second with their outcomes.");
DEFINE_bool(json, false, "Print the measures of each run as a JSON line.");

namespace {

using namespace Ebonystack;

enum ExitStatus : int { Success = 0, ExpectationMissed = 1, UsageError = 2 };

void printTable(const std::string& file, std::uint64_t seed, const SimulationResult& result)
{
    std::printf("%s, seed %llu\n", file.c_str(), static_cast<unsigned long long>(seed));
    std::printf("  %-20s %8s %8s %8s %8s %8s %9s %9s\n", "kind", "asked", "in time", "late", "refused",
        "failed", "p50 ms", "p99 ms");
    for (const auto& [kind, row] : result.kinds)
        std::printf("  %-20s %8llu %8.3f %8.3f %8.3f %8.3f %9lld %9lld\n", kind.text.c_str(),
            static_cast<unsigned long long>(row.requested), row.inTime, row.late, row.refused, row.failed,
            static_cast<long long>(toMilliseconds(row.median)),
            static_cast<long long>(toMilliseconds(row.p99)));
    for (const auto& [name, value] : result.measures) {
        if (name.find(' ') == std::string::npos)
            std::printf("  %s %.4f", name.c_str(), value);
    }
    std::printf("\n");
}

void printTimeline(const SimulationResult& result)
{
    for (const auto& [kind, seconds] : result.seconds) {
        std::printf("  %s: second, asked, in time, late, refused, failed\n", kind.text.c_str());
        for (std::size_t second = 0; second < seconds.size(); ++second) {
            const KindResult& row = seconds[second];
            std::printf("  %6zu %8llu %8.3f %8.3f %8.3f %8.3f\n", second,
                static_cast<unsigned long long>(row.requested), row.inTime, row.late, row.refused,
                row.failed);
        }
    }
}

void printJson(const std::string& file, std::uint64_t seed, const SimulationResult& result)
{
    std::printf("%s\n",
        nlohmann::json { { "scenario", file }, { "seed", seed }, { "without", FLAGS_without },
            { "measures", result.measures } }
            .dump()
            .c_str());
}

/// Returns false when an expectation is missed and --check is given.
bool runSeed(const std::string& file, const LoadScenario& scenario, std::uint64_t seed)
{
    const SimulationOptions options { FLAGS_without == "admission", FLAGS_without == "gate" };
    const SimulationResult result = runScenario(scenario, options, seed);
    (FLAGS_json ? printJson : printTable)(file, seed, result);
    if (FLAGS_timeline)
        printTimeline(result);
    const auto missed = missedExpectations(scenario, result);
    for (const std::string& expectation : missed)
        std::printf("  missed: %s\n", expectation.c_str());
    return missed.empty() || !FLAGS_check;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Runs load scenarios in virtual time; docs/SCENARIOS.md describes the files.\n\n"
        "    ebony-lab --seed 7 test/scenarios/GirthlineLoad17.scn\n"
        "    ebony-lab --without admission test/scenarios/*.scn\n\n"
        "Exit codes: 0 success, 1 missed expectation (with --check), 2 invalid arguments or scenario.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2 || (!FLAGS_without.empty() && FLAGS_without != "admission" && FLAGS_without != "gate")) {
        std::fprintf(stderr, "%s\n", gflags::ProgramUsage());
        return UsageError;
    }
    Log::setLevel(Log::Level::Error);
    bool passed = true;
    for (int i = 1; i < argc; ++i) {
        const auto scenario = loadScenario(argv[i]);
        if (!scenario) {
            std::fprintf(stderr, "%s: %s\n", argv[i], toString(scenario.error()).c_str());
            return UsageError;
        }
        for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed)
            passed = runSeed(argv[i], *scenario, seed) && passed;
    }
    return passed ? Success : ExpectationMissed;
}

// ebony-sidecar: runs one node beside one upstream VM on the users' platform.
#include "Adapter.h"
#include "protocol/SidecarSettings.h"
#include "state/Check.h"
#include "transport/Log.h"
#include "transport/ProcessHeap.h"
#include "transport/Sidecar.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gflags/gflags.h>

DEFINE_string(config, "", "The settings file (JSON). Default: the file named by $EBONYSTACK_SETTINGS.");

namespace {

using namespace Ebonystack;

enum ExitCode {
    Success = 0,
    InternalFault = 1,
    UsageError = 2, // wrong arguments or settings
    CannotListen = 3,
};

std::string settingsFile()
{
    if (!FLAGS_config.empty())
        return FLAGS_config;
    const char* environmentFile = std::getenv("EBONYSTACK_SETTINGS");
    return environmentFile ? environmentFile : "";
}

std::optional<SidecarSettings> readSettings(const std::string& file)
{
    auto settings = loadSidecarSettings(file);
    if (settings)
        return *settings;
    for (const Problem& problem : settings.error())
        std::fprintf(stderr, "%s\n", toString(problem).c_str());
    return std::nullopt;
}

int run()
{
    const std::string file = settingsFile();
    if (file.empty()) {
        std::fprintf(stderr, "No settings file given: use --config FILE or set EBONYSTACK_SETTINGS.\n");
        return UsageError;
    }
    const auto settings = readSettings(file);
    if (!settings)
        return UsageError;
    if (const auto level = Log::parseLevel(settings->logLevel))
        Log::setLevel(*level);
    std::signal(SIGPIPE, SIG_IGN);
    const Platform::Adapter adapter;
    try {
        Sidecar sidecar(*settings, adapter, [file] { return readSettings(file); });
        sidecar.run();
    } catch (const UserError& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return CannotListen;
    }
    return Success;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Runs one node beside one upstream VM of the users' platform.\n\n"
        "    ebony-sidecar --config settings.json\n\n"
        "Exit codes: 0 stopped on request, 1 internal error, 2 wrong arguments or settings, "
        "3 an address can't be listened on.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    configureHeap();
    try {
        return run();
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return InternalFault;
    }
}

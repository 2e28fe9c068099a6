// Headers, calls and fields that only the users' platform has are named in platform/ and its tests only.
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace {

const std::vector<std::string> platformWords { "Ebonystack-", "/kv-", "path_prefix", "route_kind", "api_keys",
    "rate_per_s", "cold_left", "current_rev", "tombstone", "app_addr", "op/config", "target_latency",
    "retry_budget", "max_attempts" };

bool isSource(const std::filesystem::path& path)
{
    return path.extension() == ".h" || path.extension() == ".cpp";
}

} // namespace

TEST_CASE("src, apps and tools contain no wire name of the platform")
{
    const std::filesystem::path root(EBONY_SOURCE_DIR);
    std::size_t fileCount = 0;
    for (const char* folder : { "src", "apps", "tools" }) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
            if (!isSource(entry.path()))
                continue;
            ++fileCount;
            std::ifstream stream(entry.path());
            std::ostringstream text;
            text << stream.rdbuf();
            for (const std::string& word : platformWords) {
                CAPTURE(entry.path().string());
                CAPTURE(word);
                CHECK(text.str().find(word) == std::string::npos);
            }
        }
    }
    CHECK(fileCount > 100);
}

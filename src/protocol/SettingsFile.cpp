// Reads settings files.
#include "protocol/SettingsFile.h"

#include <fstream>
#include <sstream>

namespace Ebonystack {

tl::expected<std::string, Problems> readSettingsFile(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf()))
        return tl::make_unexpected(
            Problems { { ResultCode::FileUnreadable, "", "check the file's name and permissions" } });
    return text.str();
}

} // namespace Ebonystack

// docs/RESULT_CODES.md has exactly the rows of the table in the code, in its order.
#include "protocol/ResultCode.h"

#include <doctest/doctest.h>
#include <fstream>
#include <string>
#include <vector>

using namespace Ebonystack;

TEST_CASE("docs/RESULT_CODES.md has the rows of the table in the code, in its order")
{
    std::ifstream page(EBONY_SOURCE_DIR "/docs/RESULT_CODES.md");
    std::vector<std::string> documented;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("| ") && !line.starts_with("| code"))
            documented.push_back(line);
    }
    std::vector<std::string> expected;
    for (const ResultCodeInfo& row : resultCodeTable()) {
        expected.push_back("| " + std::to_string(static_cast<int>(row.code)) + " | " + std::string(row.name)
            + " | " + std::to_string(row.httpStatus) + " | " + std::string(row.meaning) + " |");
    }
    CHECK(documented == expected);
}

// The grammar of scenario files, for the PEGTL parser library.
#include "lab/ScenarioGrammar.h"

#include <cstdlib>
#include <tao/pegtl.hpp>

namespace Ebonystack {
namespace {

namespace pegtl = tao::pegtl;

struct Digits : pegtl::plus<pegtl::digit> { };
struct Decimal : pegtl::seq<Digits, pegtl::opt<pegtl::one<'.'>, Digits>> { };
struct Unit : pegtl::sor<pegtl::string<'m', 'i', 'n'>, pegtl::string<'m', 's'>, pegtl::one<'s'>> { };
struct WordEnd : pegtl::not_at<pegtl::alnum> { };
struct TimeRule : pegtl::seq<Decimal, Unit, WordEnd> { };
struct NumberRule : pegtl::seq<Decimal, WordEnd> { };
struct WordRule : pegtl::seq<pegtl::alpha, pegtl::star<pegtl::sor<pegtl::alnum, pegtl::one<'-', '_'>>>> { };
struct ComparisonRule : pegtl::sor<pegtl::string<'<', '='>, pegtl::string<'>', '='>> { };
struct Comment : pegtl::seq<pegtl::one<'#'>, pegtl::until<pegtl::at<pegtl::eolf>>> { };
struct Token : pegtl::sor<TimeRule, NumberRule, WordRule, ComparisonRule> { };
struct Whitespace : pegtl::star<pegtl::blank> { };
struct LineEnd : pegtl::eolf { };
struct Line
    : pegtl::seq<Whitespace, pegtl::star<Token, Whitespace>, pegtl::opt<Comment>, pegtl::must<LineEnd>> { };
struct ScenarioText : pegtl::until<pegtl::eof, Line> { };

struct TokenLines {
    std::vector<std::vector<ScenarioToken>> lines;
    std::vector<ScenarioToken> current;
};

template <typename Input> void addToken(const Input& in, TokenLines& tokenLines, ScenarioTokenKind kind)
{
    const auto position = in.position();
    ScenarioToken token;
    token.kind = kind;
    token.text = in.string();
    token.line = static_cast<int>(position.line);
    token.column = static_cast<int>(position.column);
    tokenLines.current.push_back(std::move(token));
}

Duration timeUnit(std::string_view text)
{
    if (text.ends_with("min"))
        return std::chrono::minutes(1);
    return text.ends_with("ms") ? Duration(std::chrono::milliseconds(1)) : Duration(std::chrono::seconds(1));
}

template <typename Rule> struct Action : pegtl::nothing<Rule> {
};

template <> struct Action<TimeRule> {
    template <typename Input> static void apply(const Input& in, TokenLines& tokenLines)
    {
        addToken(in, tokenLines, ScenarioTokenKind::Time);
        ScenarioToken& token = tokenLines.current.back();
        token.time = fromSeconds(std::strtod(token.text.c_str(), nullptr) * toSeconds(timeUnit(token.text)));
    }
};

template <> struct Action<NumberRule> {
    template <typename Input> static void apply(const Input& in, TokenLines& tokenLines)
    {
        addToken(in, tokenLines, ScenarioTokenKind::Number);
        tokenLines.current.back().number = std::strtod(tokenLines.current.back().text.c_str(), nullptr);
    }
};

template <> struct Action<WordRule> {
    template <typename Input> static void apply(const Input& in, TokenLines& tokenLines)
    {
        addToken(in, tokenLines, ScenarioTokenKind::Word);
    }
};

template <> struct Action<ComparisonRule> {
    template <typename Input> static void apply(const Input& in, TokenLines& tokenLines)
    {
        addToken(in, tokenLines, ScenarioTokenKind::Comparison);
    }
};

template <> struct Action<LineEnd> {
    static void apply0(TokenLines& tokenLines)
    {
        if (!tokenLines.current.empty())
            tokenLines.lines.push_back(std::exchange(tokenLines.current, {}));
    }
};

} // namespace

std::string toString(const ScenarioError& error)
{
    return "line " + std::to_string(error.line) + ", column " + std::to_string(error.column) + ": "
        + error.message;
}

tl::expected<std::vector<std::vector<ScenarioToken>>, ScenarioError> tokenizeScenario(std::string_view text)
{
    pegtl::memory_input in(text.data(), text.data() + text.size(), "scenario");
    TokenLines tokenLines;
    try {
        pegtl::parse<ScenarioText, Action>(in, tokenLines);
    } catch (const pegtl::parse_error& error) {
        const auto& position = error.positions().front();
        return tl::make_unexpected(
            ScenarioError { static_cast<int>(position.line), static_cast<int>(position.column),
                "expected words, numbers, times such as 500ms, 3s or 2min, or comparisons <= or >=" });
    }
    return std::move(tokenLines.lines);
}

} // namespace Ebonystack

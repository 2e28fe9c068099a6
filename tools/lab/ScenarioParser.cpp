// Looks each statement up by its first word in a table and reads the rest of its line token by token.
#include "lab/ScenarioParser.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

namespace Ebonystack {
namespace {

/// Thrown and caught within the parser; parseScenario returns the error.
struct ParseException {
    ScenarioError error;
};

/// Reads the tokens of one line in order. Throws ParseException when the next token is not of the expected
/// kind.
class LineReader {
public:
    explicit LineReader(const std::vector<ScenarioToken>& tokens)
        : m_tokens(tokens)
    {
    }

    bool atEnd() const { return m_next == m_tokens.size(); }
    bool nextIs(ScenarioTokenKind kind) const { return !atEnd() && m_tokens[m_next].kind == kind; }

    std::string word(const char* expected) { return take(ScenarioTokenKind::Word, expected).text; }
    double number(const char* expected) { return take(ScenarioTokenKind::Number, expected).number; }
    int count(const char* expected) { return static_cast<int>(number(expected)); }
    Duration time(const char* expected) { return take(ScenarioTokenKind::Time, expected).time; }
    bool atLeast() { return take(ScenarioTokenKind::Comparison, "<= or >=").text == ">="; }

    void end()
    {
        if (!atEnd())
            fail("the end of the line");
    }

    [[noreturn]] void fail(const std::string& expected) const
    {
        const ScenarioToken& position = m_tokens[std::min(m_next, m_tokens.size() - 1)];
        throw ParseException { { position.line, position.column, "expected " + expected } };
    }

private:
    const ScenarioToken& take(ScenarioTokenKind kind, const char* expected)
    {
        if (!nextIs(kind))
            fail(expected);
        return m_tokens[m_next++];
    }

    const std::vector<ScenarioToken>& m_tokens;
    std::size_t m_next { 0 };
};

/// A property of a request kind and the function that reads the value after its name.
struct KindProperty {
    std::string_view name;
    void (*read)(RequestKind&, LineReader&);
};

constexpr auto kindProperties = std::to_array<KindProperty>({
    { "rate",
        [](RequestKind& kind, LineReader& line) {
            kind.requestsPerSecond = line.number("the rate in requests per second");
        } },
    { "work", [](RequestKind& kind, LineReader& line) { kind.work = line.time("the mean work as a time"); } },
    { "spread", [](RequestKind& kind, LineReader& line) { kind.spread = line.number("the spread"); } },
    { "aim",
        [](RequestKind& kind, LineReader& line) {
            kind.targetLatency = line.time("the aim (target latency) as a time");
        } },
    { "deadline",
        [](RequestKind& kind, LineReader& line) { kind.deadline = line.time("the deadline as a time"); } },
    { "timeout",
        [](RequestKind& kind, LineReader& line) { kind.timeout = line.time("the timeout as a time"); } },
    { "worth", [](RequestKind& kind, LineReader& line) { kind.worth = line.number("the worth"); } },
    { "late",
        [](RequestKind& kind, LineReader& line) {
            kind.lateWorth = line.number("the worth of a late response, relative to the full worth");
        } },
    { "priority", [](RequestKind& kind, LineReader& line) { kind.priority = line.count("the priority"); } },
    { "retries",
        [](RequestKind& kind, LineReader& line) { kind.retries = line.count("the number of retries"); } },
    { "order", [](RequestKind& kind, LineReader&) { kind.idempotent = false; } },
});

class Parser {
public:
    LoadScenario parse(const std::vector<std::vector<ScenarioToken>>& lines)
    {
        for (const auto& line : lines) {
            LineReader reader(line);
            const std::string first = reader.word("a statement");
            const auto* const statement = std::ranges::find(statements, first, &Statement::name);
            if (statement == statements.end())
                throw ParseException { { line.front().line, line.front().column,
                    "unknown statement " + first } };
            (this->*statement->read)(reader);
            reader.end();
        }
        check();
        return std::move(m_scenario);
    }

private:
    struct Statement {
        std::string_view name;
        void (Parser::*read)(LineReader&);
    };

    void readDataCentres(LineReader& line)
    {
        m_scenario.dataCentres = line.count("a number of data centres");
        expect(line, "delay");
        m_scenario.delay = line.time("the delay as a time");
    }

    void readService(LineReader& line)
    {
        ScenarioService service { { line.word("the service's name") }, 1, 1, {} };
        expect(line, "vms");
        service.vms = line.count("a number of VMs");
        expect(line, "slots");
        service.slots = static_cast<std::uint32_t>(line.number("a number of slots"));
        expect(line, "speeds");
        do
            service.speeds.push_back(line.number("a speed"));
        while (line.nextIs(ScenarioTokenKind::Number));
        if (service.vms < 1 || service.slots < 1 || std::ranges::min(service.speeds) <= 0)
            line.fail("numbers of VMs and slots of at least 1, and speeds above 0");
        m_scenario.services.push_back(std::move(service));
    }

    void readKind(LineReader& line)
    {
        RequestKind kind;
        kind.name = { line.word("the kind's name") };
        expect(line, "at");
        kind.service = { line.word("a service") };
        if (!m_scenario.findService(kind.service))
            line.fail("a service that is defined above");
        while (!line.atEnd()) {
            const std::string name = line.word("a property of the kind");
            const auto* const property = std::ranges::find(kindProperties, name, &KindProperty::name);
            if (property == kindProperties.end())
                line.fail("a property of the kind");
            property->read(kind, line);
        }
        m_scenario.kinds.push_back(std::move(kind));
    }

    void readCall(LineReader& line)
    {
        const RouteId caller { line.word("the calling kind") };
        const RouteId callee { line.word("the kind that is called") };
        expect(line, "times");
        const int times = line.count("the number of calls");
        const auto found = std::ranges::find(m_scenario.kinds, caller, &RequestKind::name);
        if (found == m_scenario.kinds.end() || !m_scenario.findKind(callee))
            line.fail("two kinds that are defined above");
        found->calls.push_back({ callee, times });
    }

    void readTeams(LineReader& line)
    {
        m_scenario.teams.count = line.count("a number of teams");
        expect(line, "plan");
        m_scenario.teams.planFactor = line.number("the plan, relative to the usual rate");
        if (m_scenario.teams.count < 1)
            line.fail("at least one team");
    }

    void readLoad(LineReader& line)
    {
        const double factor = line.number("the load factor");
        expect(line, "until");
        const Duration until = line.time("the end of the phase as a time");
        if (until <= m_scenario.length())
            line.fail("an end of the phase after that of the previous phase");
        m_scenario.phases.push_back({ factor, until });
    }

    void readSlow(LineReader& line) { readServiceFault(line, ScenarioFaultKind::Slow); }
    void readLoseAnswers(LineReader& line) { readServiceFault(line, ScenarioFaultKind::LoseAnswers); }
    void readReject(LineReader& line) { readServiceFault(line, ScenarioFaultKind::Reject); }
    void readNameLimit(LineReader& line) { readServiceFault(line, ScenarioFaultKind::NameLimit); }
    void readNameLeaving(LineReader& line) { readServiceFault(line, ScenarioFaultKind::NameLeaving); }
    void readLose(LineReader& line) { readServiceFault(line, ScenarioFaultKind::Lose); }
    void readDrain(LineReader& line) { readServiceFault(line, ScenarioFaultKind::Drain); }

    void readServiceFault(LineReader& line, ScenarioFaultKind kind)
    {
        ScenarioFault fault;
        fault.kind = kind;
        fault.service = { line.word("a service") };
        if (!m_scenario.findService(fault.service))
            line.fail("a service that is defined above");
        expect(line, "share");
        fault.share = line.number("a share of the VMs");
        constexpr std::array kindsWithoutFactor { ScenarioFaultKind::Lose, ScenarioFaultKind::Drain,
            ScenarioFaultKind::NameLeaving };
        if (std::ranges::find(kindsWithoutFactor, kind) == kindsWithoutFactor.end()) {
            expect(line, "factor");
            fault.factor = line.number("a factor");
        }
        readTimes(line, fault);
    }

    void readHotTeam(LineReader& line)
    {
        ScenarioFault fault;
        fault.kind = ScenarioFaultKind::HotTeam;
        expect(line, "factor");
        fault.factor = line.number("a factor");
        readTimes(line, fault);
    }

    void readTimes(LineReader& line, ScenarioFault& fault)
    {
        expect(line, "from");
        fault.from = line.time("the time when the fault begins");
        if (!line.atEnd()) {
            expect(line, "until");
            fault.until = line.time("the time when the fault ends");
        }
        m_scenario.faults.push_back(fault);
    }

    void readExpect(LineReader& line)
    {
        ScenarioExpectation expectation;
        expectation.measure = line.word("a measure");
        if (line.nextIs(ScenarioTokenKind::Word))
            expectation.measure += ' ' + line.word("a kind");
        expectation.atLeast = line.atLeast();
        expectation.bound = line.nextIs(ScenarioTokenKind::Time) ? toSeconds(line.time("the bound"))
                                                                 : line.number("the bound");
        m_scenario.expectations.push_back(std::move(expectation));
    }

    static void expect(LineReader& line, const char* word)
    {
        if (line.word(word) != word)
            line.fail(word);
    }

    void check() const
    {
        if (m_scenario.services.empty() || m_scenario.kinds.empty() || m_scenario.phases.empty())
            throw ParseException { { 0, 0,
                "expected at least one service, one kind and one load statement" } };
    }

    static constexpr std::array statements {
        Statement { "data-centres", &Parser::readDataCentres },
        Statement { "service", &Parser::readService },
        Statement { "kind", &Parser::readKind },
        Statement { "call", &Parser::readCall },
        Statement { "teams", &Parser::readTeams },
        Statement { "load", &Parser::readLoad },
        Statement { "slow", &Parser::readSlow },
        Statement { "lose-answers", &Parser::readLoseAnswers },
        Statement { "reject", &Parser::readReject },
        Statement { "name-limit", &Parser::readNameLimit },
        Statement { "name-leaving", &Parser::readNameLeaving },
        Statement { "lose", &Parser::readLose },
        Statement { "drain", &Parser::readDrain },
        Statement { "hot-team", &Parser::readHotTeam },
        Statement { "expect", &Parser::readExpect },
    };

    LoadScenario m_scenario;
};

} // namespace

tl::expected<LoadScenario, ScenarioError> parseScenario(std::string_view text)
{
    const auto lines = tokenizeScenario(text);
    if (!lines)
        return tl::make_unexpected(lines.error());
    try {
        return Parser().parse(*lines);
    } catch (const ParseException& exception) {
        return tl::make_unexpected(exception.error);
    }
}

tl::expected<LoadScenario, ScenarioError> loadScenario(const std::string& file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (!stream || !(text << stream.rdbuf()))
        return tl::make_unexpected(ScenarioError { 0, 0, file + " could not be read" });
    return parseScenario(text.str());
}

} // namespace Ebonystack

// Collects one value per second and node, and draws each measure as an SVG plot.
#include "ebonyctl/ReportCommand.h"

#include "ebonyctl/LogLines.h"

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <sstream>

namespace Ebonystack {
namespace {

/// A measure's values by time in seconds since the Unix epoch.
using Series = std::map<std::int64_t, double>;
/// The series of one plot, by the name of the node or result code.
using SeriesByName = std::map<std::string, Series>;

constexpr int plotWidth = 900; // pixels
constexpr int plotHeight = 160;
constexpr std::int64_t millisecondsPerSecond = 1000;

/// A field of the "load" event that is plotted.
struct LoadPlot {
    std::string_view field;
    std::string_view title;
};

constexpr auto loadPlots = std::to_array<LoadPlot>({
    { "running", "Requests running at the upstream, by node" },
    { "queued", "Requests waiting for the upstream, by node" },
    { "shedShare", "Share of the demand to be shed, by node" },
    { "holdMs", "Mean service time in ms, by node" },
    { "openCalls", "Open requests of callers, by node" },
    { "linksUp", "Links to other nodes that are up, by node" },
    { "storeRevision", "Known revision of the store, by node" },
});

struct Report {
    std::map<std::string, SeriesByName> loads; // by field
    SeriesByName refusals; // per second, by result code's name
    SeriesByName versions; // of the configuration, by node
    std::vector<LogLine> changes; // starts, stops, new configurations, and lost or recovered dependencies
};

bool isChange(const std::string& event)
{
    constexpr auto events
        = std::to_array<std::string_view>({ "started", "stopped", "leaving", "settings reloaded",
            "settings not usable", "store lost", "store regained", "store history lost", "store restored",
            "link down", "process stood still", "configuration in force", "configuration refused" });
    return std::ranges::find(events, event) != events.end();
}

void collect(Report& report, LogLine line)
{
    const std::int64_t second = line.time / millisecondsPerSecond;
    if (line.event == "load") {
        for (const LoadPlot& plot : loadPlots) {
            const auto value = line.fields.find(plot.field);
            if (value != line.fields.end() && value->is_number())
                report.loads[std::string(plot.field)][line.origin][second] = value->get<double>();
        }
    } else if (line.event == "refused" || line.event == "request not accepted") {
        report.refusals[line.fields.value("name", "unknown")][second] += 1;
    } else if (line.event == "configuration in force") {
        report.versions[line.origin][second] = line.fields.value("version", 0.0);
    }
    if (isChange(line.event))
        report.changes.push_back(std::move(line));
}

std::string escapeHtml(const std::string& text)
{
    std::string safe;
    for (const char each : text) {
        if (each == '<')
            safe += "&lt;";
        else if (each == '&')
            safe += "&amp;";
        else
            safe += each;
    }
    return safe;
}

void drawPlot(std::ostream& out, std::string_view title, const SeriesByName& seriesByName)
{
    std::int64_t first = std::numeric_limits<std::int64_t>::max();
    std::int64_t last = 0;
    double maxValue = 0;
    for (const auto& [name, series] : seriesByName) {
        if (series.empty())
            continue;
        first = std::min(first, series.begin()->first);
        last = std::max(last, series.rbegin()->first);
        for (const auto& [second, value] : series)
            maxValue = std::max(maxValue, value);
    }
    if (last < first)
        return;
    const double xScale = plotWidth / static_cast<double>(std::max<std::int64_t>(last - first, 1));
    const double yScale = maxValue > 0 ? plotHeight / maxValue : 0;
    out << "<h2>" << title << "</h2><p>0 to " << maxValue << ", " << last - first << " s</p><svg width='"
        << plotWidth << "' height='" << plotHeight << "'>";
    int hue = 0;
    for (const auto& [name, series] : seriesByName) {
        out << "<polyline fill='none' stroke='hsl(" << hue << ",70%,45%)' points='";
        for (const auto& [second, value] : series)
            out << static_cast<double>(second - first) * xScale << ',' << plotHeight - value * yScale << ' ';
        out << "'><title>" << escapeHtml(name) << "</title></polyline>";
        hue = (hue + 47) % 360; // consecutive series get clearly different colours
    }
    out << "</svg>\n";
}

void writePage(std::ostream& out, Report report)
{
    out << "<!doctype html><meta charset='utf-8'><title>ebonystack run</title>"
           "<style>body{font:14px sans-serif;margin:2em}svg{border:1px solid #ccc}p{color:#666}"
           "td{padding:0 1em 0 0;vertical-align:top}</style><h1>ebonystack run</h1>\n"
           "<p>Refusals are counted from the log's lines, whose number per second and node is limited.</p>\n";
    drawPlot(out, "Refusals per second, by result code", report.refusals);
    for (const LoadPlot& plot : loadPlots)
        drawPlot(out, plot.title, report.loads[std::string(plot.field)]);
    drawPlot(out, "Version of the configuration in force, by node", report.versions);
    std::ranges::stable_sort(report.changes, {}, &LogLine::time);
    out << "<h2>Changes</h2><table>";
    for (const LogLine& change : report.changes)
        out << "<tr><td>" << change.time << "<td>" << escapeHtml(change.origin) << "<td>"
            << escapeHtml(change.event) << "<td>" << escapeHtml(change.fields.dump()) << '\n';
    out << "</table>\n";
}

} // namespace

ExitCode runReport(CommandContext& context)
{
    Report report;
    std::size_t lines = 0;
    const auto unreadable = readLogLines(context.arguments, context.in, [&](LogLine line) {
        ++lines;
        collect(report, std::move(line));
    });
    for (const std::string& name : unreadable)
        context.error << name << " can't be read\n";
    if (lines == 0) {
        context.error << "The input has no log lines of nodes.\n";
        return ExitCode::ProblemsFound;
    }
    writePage(context.out, std::move(report));
    return ExitCode::Success;
}

} // namespace Ebonystack

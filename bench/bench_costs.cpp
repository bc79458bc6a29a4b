// What a day costs, placed in different ways, and the report page with the users' measures.
#include "benchmarks.h"

#include "parallel.h"
#include "trials/cost_trial.h"
#include "trials/move_trial.h"
#include "trials/routing_trial.h"

#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <string>

DEFINE_string(report_file, "report.html", "report: where to write the page");

namespace chicoryrouter::bench {

namespace {

using namespace trials;

constexpr std::size_t days = 40;
constexpr std::size_t reportMoves = 16;

cost_result meanCost(const cost_sizes &sizes, placing kind)
{
    const auto results = inParallel<cost_result>(days, [&](std::size_t day) { return runCostTrial(sizes, kind, day + 1); });
    cost_result mean;
    for (const cost_result &item : results) {
        mean.cost += item.cost / days;
        mean.perMillionTokens += item.perMillionTokens / days;
        mean.promptMissedPercent += item.promptMissedPercent / days;
        mean.allMissedPercent += item.allMissedPercent / days;
        mean.starts += item.starts;
    }
    mean.starts /= days;
    return mean;
}

// One bar chart as inline SVG: no script, no other file.
class bar_chart
{
public:
    bar_chart(std::string heading, std::string unitName)
        : m_title(std::move(heading))
        , m_unit(std::move(unitName))
    {
    }

    void add(const std::string &name, double value)
    {
        m_names.push_back(name);
        m_values.push_back(value);
    }

    [[nodiscard]] std::string svg() const
    {
        constexpr int rowHeight = 26;
        constexpr int labelWidth = 260;
        constexpr int barWidth = 380;
        double most = 0.0;
        for (const double value : m_values) {
            most = std::max(most, value);
        }
        const auto height = static_cast<int>(m_values.size()) * rowHeight;
        std::string out = "<h3>" + m_title + "</h3><svg role=\"img\" aria-label=\"" + m_title + "\" width=\"760\" height=\"" + std::to_string(height) + "\">";
        for (std::size_t i = 0; i < m_values.size(); ++i) {
            const int y = static_cast<int>(i) * rowHeight;
            const int width = most > 0.0 ? static_cast<int>(m_values[i] / most * barWidth) : 0;
            char number[64];
            std::snprintf(number, sizeof number, "%.4g %s", m_values[i], m_unit.c_str());
            out += "<text x=\"0\" y=\"" + std::to_string(y + 17) + "\">" + m_names[i] + "</text><rect x=\"" + std::to_string(labelWidth) + "\" y=\""
                + std::to_string(y + 4) + "\" width=\"" + std::to_string(width) + "\" height=\"18\"/><text x=\"" + std::to_string(labelWidth + width + 6)
                + "\" y=\"" + std::to_string(y + 17) + "\">" + number + "</text>";
        }
        return out + "</svg>";
    }

private:
    std::string m_title;
    std::string m_unit;
    std::vector<std::string> m_names;
    std::vector<double> m_values;
};

std::string costCharts(const cost_sizes &sizes)
{
    bar_chart cost("Cost per million tokens", "");
    bar_chart missed("Prompt work without a place", "%");
    for (const placing kind : {placing::Planner, placing::AllOnDemand, placing::CheapestOnly, placing::Oracle}) {
        const cost_result result = meanCost(sizes, kind);
        cost.add(std::string(toText(kind)), result.perMillionTokens);
        missed.add(std::string(toText(kind)), result.promptMissedPercent);
    }
    return cost.svg() + missed.svg();
}

std::string routingCharts()
{
    bar_chart computed("Prompt tokens computed per request, 30 requests/s", "");
    bar_chart within("First token within 730 ms", "%");
    for (const strategy kind : {strategy::PrefixBounded, strategy::Random, strategy::LeastInFlight, strategy::Blended}) {
        routing_trial_options options;
        options.kind = kind;
        options.requestsPerSecond = 30.0;
        const routing_trial_result result = runRoutingTrial(options);
        computed.add(std::string(toText(kind)), result.computedPerRequest);
        within.add(std::string(toText(kind)), result.withinTargetPercent);
    }
    return computed.svg() + within.svg();
}

std::string moveCharts(const move_sizes &sizes)
{
    bar_chart exposed("Requests that met a bad version, part of the service's traffic in the hour", "%");
    bar_chart right("Verdicts that were right and in time", "%");
    for (const badness kind :
        {badness::None, badness::FailsAtOnce, badness::SlowsByHalf, badness::FailsUnderLoad, badness::FailsOnOneRoute, badness::BadAfterTenMinutes}) {
        const auto results = inParallel<move_trial_result>(reportMoves, [&](std::size_t run) {
            move_trial_options options;
            options.sizes = sizes;
            options.kind = kind;
            options.seed = run + 1;
            return runMoveTrial(options);
        });
        double met = 0.0;
        double good = 0.0;
        for (const move_trial_result &result : results) {
            met += 100.0 * static_cast<double>(result.exposed) / static_cast<double>(result.requests) / reportMoves;
            const bool wanted = (result.verdict == move_outcome::Done) == (kind == badness::None);
            good += wanted && result.recorded && result.everyoneEnded ? 100.0 / reportMoves : 0.0;
        }
        exposed.add(std::string(toText(kind)), met);
        right.add(std::string(toText(kind)), good);
    }
    return exposed.svg() + right.svg();
}

} // namespace

void costs()
{
    std::printf("%-13s %-18s %10s %16s %16s %13s %8s\n", "deployment", "placed by", "cost/day", "per M tokens", "prompt missed %", "all missed %", "starts");
    for (const cost_sizes &sizes : {aspenCosts(), tablesCosts()}) {
        for (const placing kind : {placing::Planner, placing::AllOnDemand, placing::CheapestOnly, placing::Oracle}) {
            const cost_result mean = meanCost(sizes, kind);
            std::printf("%-13s %-18s %10.1f %16.4f %16.3f %13.3f %8u\n", sizes.name.c_str(), std::string(toText(kind)).c_str(), mean.cost,
                mean.perMillionTokens, mean.promptMissedPercent, mean.allMissedPercent, mean.starts);
        }
    }
}

void report()
{
    std::ofstream page(FLAGS_report_file);
    page << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>chicoryrouter report</title>"
            "<style>body{font:15px/1.5 system-ui,sans-serif;max-width:52rem;margin:2rem auto;padding:0 1rem}svg{font:14px "
            "system-ui,sans-serif}rect{fill:#3f6fb5}</style>"
            "<h1>chicoryrouter report</h1><p>Under virtual time, with fixed seeds; each figure stands beside its baselines.</p>";
    page << "<h2>aspen-coulee: cost over " << days << " days</h2>" << costCharts(aspenCosts());
    page << "<h2>aspen-coulee: recomputation and latency</h2>" << routingCharts();
    page << "<h2>aspen-coulee: version moves</h2>" << moveCharts(aspenCoulee());
    page << "<h2>tables-armor: cost over " << days << " days</h2>" << costCharts(tablesCosts());
    page << "<h2>tables-armor: version moves</h2>" << moveCharts(tablesArmor()) << "</html>\n";
    std::printf("written: %s\n", FLAGS_report_file.c_str());
}

} // namespace chicoryrouter::bench

// Metrics, implemented with Boost.Histogram and Boost.Accumulators.
#include "shell/metrics.h"

#include "shell/context_runner.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>

#include <unistd.h>

#include <fstream>
#include <map>
#include <mutex>
#include <sstream>
#include <vector>

namespace chicoryrouter {

namespace acc = boost::accumulators;
namespace hist = boost::histogram;

namespace {

const std::vector<double> bucketBoundsSeconds = {0.0, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0};

// Histogram of one latency on one route.
class latency_histogram
{
public:
    void add(double seconds)
    {
        m_buckets(seconds);
        m_sum(seconds);
    }

    void print(std::ostream &out, std::string_view name, std::string_view route) const
    {
        const std::string label = "{route=\"" + std::string(route) + "\"";
        double cumulative = 0.0;
        for (const auto &bucket : hist::indexed(m_buckets)) {
            cumulative += *bucket;
            out << "chicoryrouter_" << name << "_bucket" << label << ",le=\"" << bucket.bin().upper() << "\"} " << cumulative << "\n";
        }
        out << "chicoryrouter_" << name << "_bucket" << label << ",le=\"+Inf\"} " << acc::count(m_sum) << "\n";
        out << "chicoryrouter_" << name << "_sum" << label << "} " << acc::sum(m_sum) << "\n";
        out << "chicoryrouter_" << name << "_count" << label << "} " << acc::count(m_sum) << "\n";
    }

private:
    decltype(hist::make_histogram(hist::axis::variable<>(bucketBoundsSeconds))) m_buckets = hist::make_histogram(hist::axis::variable<>(bucketBoundsSeconds));
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>> m_sum;
};

constexpr std::array<std::string_view, static_cast<std::size_t>(latency::Count)> latencyNames = {"wait_seconds", "first_token_seconds", "pause_seconds",
    "total_seconds", "knowledge_age_seconds", "wait_prediction_error_seconds", "admission_predicted_wait_seconds", "load_age_seconds"};

} // namespace

struct metrics::labelled
{
    std::mutex lock;
    std::array<std::map<std::string, latency_histogram, std::less<>>, static_cast<std::size_t>(latency::Count)> latencies; // by route
    std::map<std::pair<std::string, std::string>, std::uint64_t> outcomes;                                                 // by route and outcome
    std::map<std::array<std::string, 3>, std::uint64_t> overloads;                                                         // by service, rank and reason
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, std::string, std::less<>> families; // by family; complete lines, printed unchanged
};

metrics::metrics()
    : m_labelled(std::make_unique<labelled>())
{
}

metrics::~metrics() = default;

void metrics::countOutcome(std::string_view route, std::string_view outcome)
{
    const std::lock_guard guard(m_labelled->lock);
    ++m_labelled->outcomes[{std::string(route), std::string(outcome)}];
}

void metrics::countOverload(std::string_view service, std::string_view rank, std::string_view reason)
{
    const std::lock_guard guard(m_labelled->lock);
    ++m_labelled->overloads[{std::string(service), std::string(rank), std::string(reason)}];
}

void metrics::observe(latency kind, std::string_view route, duration span)
{
    const std::lock_guard guard(m_labelled->lock);
    auto &byRoute = m_labelled->latencies.at(static_cast<std::size_t>(kind));
    auto found = byRoute.find(route);
    if (found == byRoute.end()) {
        found = byRoute.try_emplace(std::string(route)).first;
    }
    found->second.add(std::chrono::duration<double>(span).count());
}

void metrics::setGauge(std::string_view name, double value)
{
    const std::lock_guard guard(m_labelled->lock);
    m_labelled->gauges[std::string(name)] = value;
}

void metrics::setGauges(std::string_view family, std::string_view labelledText)
{
    const std::lock_guard guard(m_labelled->lock);
    m_labelled->families[std::string(family)] = labelledText;
}

std::string metrics::text() const
{
    std::ostringstream out;
    out << "chicoryrouter_answers_total " << m_answers << "\n";
    out << "chicoryrouter_attempts_total " << m_attempts << "\n";
    out << "chicoryrouter_repeats_total " << m_retries << "\n";
    out << "chicoryrouter_tokens_total " << m_tokens << "\n";
    out << "chicoryrouter_recomputed_tokens_total " << m_recomputedTokens << "\n";
    out << "chicoryrouter_streams_moved_total " << m_movedStreams << "\n";
    out << "chicoryrouter_endpoints_said_leaving_total " << m_leavingAnswers << "\n";
    out << "chicoryrouter_endpoint_rests_total " << m_rests << "\n";
    out << "chicoryrouter_caught_faults_total " << caughtFaults() << "\n";
    for (std::size_t i = 0; i < m_failures.size(); ++i) {
        out << "chicoryrouter_failures_total{kind=\"" << responseFor(static_cast<error_kind>(i)).name << "\"} " << m_failures.at(i) << "\n";
    }
    const std::lock_guard guard(m_labelled->lock);
    for (const auto &[label, number] : m_labelled->outcomes) {
        out << "chicoryrouter_requests_total{route=\"" << label.first << "\",end=\"" << label.second << "\"} " << number << "\n";
    }
    for (const auto &[label, number] : m_labelled->overloads) {
        const auto &[service, rank, reason] = label;
        out << "chicoryrouter_overload_refusals_total{service=\"" << service << "\",rank=\"" << rank << "\",reason=\"" << reason << "\"} " << number << "\n";
    }
    for (const auto &[name, value] : m_labelled->gauges) {
        out << "chicoryrouter_" << name << " " << value << "\n";
    }
    for (const auto &[family, lines] : m_labelled->families) {
        out << lines;
    }
    for (std::size_t i = 0; i < latencyNames.size(); ++i) {
        for (const auto &[route, histogram] : m_labelled->latencies.at(i)) {
            histogram.print(out, latencyNames.at(i), route);
        }
    }
    return out.str();
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t totalPages = 0;
    std::uint64_t residentPages = 0;
    file >> totalPages >> residentPages;
    return static_cast<double>(residentPages) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace chicoryrouter

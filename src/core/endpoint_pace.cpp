// Learns the pace of endpoints by small bounded steps.
#include "chicoryrouter/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace chicoryrouter {

namespace {

constexpr double minTokensPerMs = 2.0;
constexpr double maxTokensPerMs = 5000.0;
constexpr double minBaseMs = 0.5;
constexpr double maxBaseMs = 2000.0;
constexpr double maxLogFactor = 1.6;        // about five times slower or faster than usual
constexpr double maxDeviation = 1.2;        // of the logarithm of one sample from the estimate; more counts as this
constexpr double slowerWeight = 0.6;        // of a sample above the estimate, relative to one below it
constexpr double priorAnswers = 1.0;        // weight of the usual pace against an endpoint's own answers, in answers
constexpr double minEndpointWeight = 0.1;   // of one answer, however many came before
constexpr double minUsualWeight = 0.01;     // the same for the usual pace
constexpr double maxAheadFraction = 0.5;    // of the expected time; answers with more known ahead are left out
constexpr double maxUnknownFraction = 0.4;  // of the expected time that depends on whether the prefix was cached
constexpr double longPromptFraction = 0.5;  // of the expected time spent reading, from which a prompt tells the tokens read in a millisecond
constexpr double shortPromptFraction = 0.4; // the same, up to which it tells the base time

double boundedStep(double deviation)
{
    const double bounded = std::clamp(deviation, -maxDeviation, maxDeviation);
    return bounded > 0.0 ? bounded * slowerWeight : bounded;
}

} // namespace

bool service_pace::learn(endpoint_pace &endpoint, const pace_sample &sample)
{
    const std::uint32_t prefixTokens = std::min(sample.prefixTokens, sample.promptTokens);
    const double tokens = sample.promptTokens - prefixTokens / 2.0; // whether the prefix was cached isn't known
    const double expected = expectedMs(tokens);
    const bool muchAhead = sample.tokensAhead / m_tokensPerMs > maxAheadFraction * expected;
    const bool prefixDecides = prefixTokens / m_tokensPerMs > maxUnknownFraction * expected;
    if (sample.firstToken <= duration{} || sample.promptTokens == 0 || muchAhead || prefixDecides) {
        return false;
    }
    const double tokensWithAhead = tokens + sample.tokensAhead;
    const double stated = sample.pacePercent != 0 ? sample.pacePercent / 100.0 : 1.0;
    const double timeMs = std::chrono::duration<double, std::milli>(sample.firstToken).count() / stated;
    learnUsual(timeMs / std::exp(endpoint.logFactor), tokensWithAhead);

    ++endpoint.answers;
    const double weight = std::max(1.0 / (priorAnswers + endpoint.answers), minEndpointWeight);
    const double deviation = std::log(timeMs / expectedMs(tokensWithAhead)) - endpoint.logFactor;
    endpoint.logFactor = std::clamp(endpoint.logFactor + weight * boundedStep(deviation), -maxLogFactor, maxLogFactor);
    return true;
}

// Long prompts tell the tokens read in a millisecond, short ones the base time.
void service_pace::learnUsual(double timeMs, double tokens)
{
    ++m_answers;
    const double weight = std::max(1.0 / (priorAnswers + m_answers), minUsualWeight);
    const double step = weight * boundedStep(std::log(timeMs / expectedMs(tokens)));
    const double readingFraction = (tokens / m_tokensPerMs) / expectedMs(tokens);
    if (readingFraction >= longPromptFraction) {
        m_tokensPerMs = std::clamp(m_tokensPerMs * std::exp(-step), minTokensPerMs, maxTokensPerMs);
    } else if (readingFraction <= shortPromptFraction) {
        m_baseMs = std::clamp(m_baseMs * std::exp(step), minBaseMs, maxBaseMs);
    }
}

learned_pace service_pace::paceOf(const endpoint_pace &endpoint) const
{
    if (m_answers == 0) {
        return {};
    }
    const double factor = std::exp(endpoint.logFactor);
    return {static_cast<std::uint32_t>(m_tokensPerMs / factor * 1000.0), static_cast<std::uint32_t>(m_baseMs * factor * 1000.0)};
}

} // namespace chicoryrouter

// Learns how fast each endpoint of a service reads prompts, from the times to the first token of this daemon's requests.
//
// The load it answers: endpoints of one service whose lasting pace differs by more than two, of which one daemon sees an answer every few
// seconds only. So the pace that they have in common is learned from all answers, and of each endpoint only one number: how much slower than
// usual it is. Its weight grows with the number of answers.
//
// What an endpoint states about the moment (stated_load::pacePercent) is divided out. Answers with much known ahead of them, or whose shared
// prefix may or may not have been read, are left out. What others had ahead unknown to this daemon only ever adds time, so samples above the
// estimate count less than samples below it, and none moves it far.
// Not thread-safe.
#pragma once

#include "chicoryrouter/time.h"

#include <cstdint>

namespace chicoryrouter {

// One answer, as far as it tells the pace.
struct pace_sample
{
    duration firstToken{};          // from sending the request to its first token, without the network delay
    std::uint32_t promptTokens = 0; // of the request
    std::uint32_t prefixTokens = 0; // of those, which the endpoint may have had in its cache
    std::uint32_t tokensAhead = 0;  // of other requests, known to wait there when it was sent
    std::uint32_t pacePercent = 0;  // as stated with the answer; 0: not stated, taken as 100
};

// What is learned about one endpoint. Reset with its incarnation.
struct endpoint_pace
{
    double logFactor = 0.0;    // natural logarithm of the time work takes there, relative to the usual time of the service
    std::uint32_t answers = 0; // that it was learned from
};

// The pace of one endpoint in the units of endpoint_load.
struct learned_pace
{
    std::uint32_t promptTokensPerMs = 0; // in thousandths; 0: not known
    std::uint32_t baseMicros = 0;        // 0: not known
};

// The pace that the endpoints of one service have in common.
class service_pace
{
public:
    bool learn(endpoint_pace &endpoint, const pace_sample &sample);         // false: the sample doesn't tell anything
    [[nodiscard]] learned_pace paceOf(const endpoint_pace &endpoint) const; // an endpoint without answers has the usual pace

private:
    [[nodiscard]] double expectedMs(double tokens) const { return m_baseMs + tokens / m_tokensPerMs; }
    void learnUsual(double timeMs, double tokens);

    double m_tokensPerMs = 80.0; // invariant: within the limits in endpoint_pace.cpp, as m_baseMs
    double m_baseMs = 60.0;      // time to the first token of an empty prompt
    std::uint32_t m_answers = 0;
};

} // namespace chicoryrouter

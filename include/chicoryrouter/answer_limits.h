// How much an endpoint may send for one answer. Answers endpoints in trouble, whose bytes never end: what goes beyond any sound answer ends the
// attempt, whether callers read it or not.
//
// A request's own limit of tokens decides, since an event holds a token or more; docs/design/answers-without-end.md says why the limit on pieces is
// a multiple of it. Where the request states none, the settings decide.
#pragma once

#include <cstddef>
#include <cstdint>

namespace chicoryrouter {

struct answer_limits
{
    std::uint32_t pieces = 262'144;       // events of a stream
    std::size_t bytes = 8 * 1024 * 1024;  // of an answer that is held whole: a plain body, or a stream that is kept for callers that return
    std::size_t pieceBytes = 1024 * 1024; // of one event
};

// The limits for a request whose answer may have `outputTokens` tokens. 0: not stated, and `unstated` holds as it is.
answer_limits limitsFor(std::uint32_t outputTokens, const answer_limits &unstated);

// Counts what one attempt sends. Each call throws error once its limit is passed, with what was passed in the detail.
class answer_meter
{
public:
    explicit answer_meter(const answer_limits &limits)
        : m_limits(limits)
    {
    }

    void countPiece(std::uint32_t position);       // every piece that arrives, also those that are not passed on; throws error(AnswerTooLong)
    void checkUnfinished(std::size_t bytes) const; // of an event that has not arrived whole; throws error(EndpointGarbage)
    void checkHeld(std::size_t bytes) const;       // held of the whole answer; throws error(EndpointGarbage)
    [[nodiscard]] std::uint32_t pieces() const { return m_pieces; }

private:
    answer_limits m_limits;
    std::uint32_t m_pieces = 0;
};

} // namespace chicoryrouter

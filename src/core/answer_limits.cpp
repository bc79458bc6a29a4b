// Limits on what an endpoint may send for one answer.
#include "chicoryrouter/answer_limits.h"

#include "chicoryrouter/error.h"

#include <algorithm>
#include <string>

namespace chicoryrouter {

namespace {
constexpr std::uint64_t piecesPerToken = 4; // a tokenizer may split a character, which has at most four bytes in UTF-8
constexpr std::uint64_t extraPieces = 64;   // that hold no token, such as one at the beginning or the end of the stream
} // namespace

answer_limits limitsFor(std::uint32_t outputTokens, const answer_limits &unstated)
{
    answer_limits limits = unstated;
    if (outputTokens > 0) {
        limits.pieces = static_cast<std::uint32_t>(std::min<std::uint64_t>(outputTokens * piecesPerToken + extraPieces, UINT32_MAX));
    }
    return limits;
}

void answer_meter::countPiece(std::uint32_t position)
{
    ++m_pieces;
    if (m_pieces > m_limits.pieces || position >= m_limits.pieces) {
        throw error(error_kind::AnswerTooLong, "more than " + std::to_string(m_limits.pieces) + " events, which is more than the request allows");
    }
}

void answer_meter::checkUnfinished(std::size_t bytes) const
{
    if (bytes > m_limits.pieceBytes) {
        throw error(error_kind::EndpointGarbage, "an event of more than " + std::to_string(m_limits.pieceBytes) + " bytes");
    }
}

void answer_meter::checkHeld(std::size_t bytes) const
{
    if (bytes > m_limits.bytes) {
        throw error(error_kind::EndpointGarbage, "an answer of more than " + std::to_string(m_limits.bytes) + " bytes");
    }
}

} // namespace chicoryrouter

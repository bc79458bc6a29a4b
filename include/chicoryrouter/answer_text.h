// The pieces of one answer, in order: the events of a stream, or the whole body of a plain answer. Answers the load of long streams: what the
// caller has read takes no memory once it is forgotten, and a piece costs a few bytes beside its text however short it is.
//
// Positions count from the answer's first piece and stay valid when earlier pieces are forgotten.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

class answer_text
{
public:
    void append(std::string &&piece); // a piece that finds nothing held is taken over without a copy
    void assign(const std::vector<std::string> &pieces);
    void forgetBefore(std::uint32_t position); // frees the memory of the pieces before it
    void truncate(std::uint32_t size);         // drops the pieces from this position on

    [[nodiscard]] std::uint32_t size() const { return m_forgotten + static_cast<std::uint32_t>(m_ends.size() - m_firstEnd); } // with the forgotten pieces
    [[nodiscard]] bool empty() const { return size() == 0; }                                                                  // no piece was ever appended
    [[nodiscard]] std::string_view piece(std::uint32_t position) const; // valid until the next change; empty if it is forgotten
    [[nodiscard]] std::string_view upTo(std::uint32_t position) const;  // the held pieces before it; valid until the next change
    [[nodiscard]] std::size_t heldBytes() const;                        // memory of the pieces that are held
    [[nodiscard]] std::string take();                                   // the held pieces; they are forgotten

private:
    [[nodiscard]] std::size_t beginOf(std::uint32_t position) const; // in m_text; also for size()
    void removeForgotten();
    void release();

    std::string m_text;                // the pieces that are held, behind those that were forgotten and not yet removed
    std::vector<std::uint64_t> m_ends; // of each piece: bytes of the answer up to there, from the first piece on; ascending
    std::size_t m_firstEnd = 0;        // index in m_ends of the first held piece; those before it were forgotten and not yet removed
    std::uint64_t m_textBegin = 0;     // bytes of the answer before m_text
    std::uint64_t m_heldBegin = 0;     // bytes of the answer before the first held piece; at least m_textBegin
    std::uint32_t m_forgotten = 0;     // number of forgotten pieces
};

} // namespace chicoryrouter

// The pieces of one answer in a single text, with the end of each.
#include "chicoryrouter/answer_text.h"

#include <algorithm>

namespace chicoryrouter {

namespace {
constexpr std::size_t keptCapacity = 16 * 1024;   // of an empty buffer, in bytes; a larger one is given back
constexpr std::size_t minRemovedBytes = 4 * 1024; // what was forgotten stays until there is so much of it, and as much as is held
} // namespace

void answer_text::append(std::string &&piece)
{
    if (m_text.empty()) {
        m_text = std::move(piece);
    } else {
        m_text += piece;
    }
    m_ends.push_back(m_textBegin + m_text.size());
}

void answer_text::assign(const std::vector<std::string> &pieces)
{
    *this = answer_text();
    for (const std::string &piece : pieces) {
        append(std::string(piece));
    }
}

void answer_text::forgetBefore(std::uint32_t position)
{
    const std::uint32_t count = std::min(position, size()) - std::min({position, size(), m_forgotten});
    if (count == 0) {
        return;
    }
    m_firstEnd += count;
    m_forgotten += count;
    m_heldBegin = m_ends[m_firstEnd - 1];
    if (m_firstEnd == m_ends.size()) {
        release();
    } else {
        removeForgotten();
    }
}

void answer_text::truncate(std::uint32_t size)
{
    const std::size_t kept = m_firstEnd + size - std::min(size, m_forgotten);
    if (kept < m_ends.size()) {
        m_ends.resize(kept);
        m_text.resize(static_cast<std::size_t>((kept == m_firstEnd ? m_heldBegin : m_ends.back()) - m_textBegin));
    }
}

std::string_view answer_text::piece(std::uint32_t position) const
{
    if (position < m_forgotten || position >= size()) {
        return {};
    }
    const std::size_t begin = beginOf(position);
    return std::string_view(m_text).substr(begin, beginOf(position + 1) - begin);
}

std::string_view answer_text::upTo(std::uint32_t position) const
{
    const std::size_t begin = beginOf(m_forgotten);
    const std::uint32_t end = std::clamp(position, m_forgotten, size());
    return std::string_view(m_text).substr(begin, beginOf(end) - begin);
}

std::size_t answer_text::heldBytes() const
{
    return m_text.size() + m_ends.size() * sizeof(m_ends[0]);
}

std::string answer_text::take()
{
    std::string held;
    if (m_heldBegin == m_textBegin) {
        held = std::move(m_text);
        m_text.clear();
    } else {
        held = std::string(upTo(size()));
    }
    forgetBefore(size());
    return held;
}

std::size_t answer_text::beginOf(std::uint32_t position) const
{
    const std::size_t index = position - m_forgotten;
    return static_cast<std::size_t>((index == 0 ? m_heldBegin : m_ends[m_firstEnd + index - 1]) - m_textBegin);
}

// Removing a little at a time would move the rest each time.
void answer_text::removeForgotten()
{
    const auto forgottenBytes = static_cast<std::size_t>(m_heldBegin - m_textBegin);
    if (forgottenBytes >= minRemovedBytes && forgottenBytes >= m_text.size() / 2) {
        m_text.erase(0, forgottenBytes);
        m_textBegin = m_heldBegin;
    }
    if (m_firstEnd * sizeof(m_ends[0]) >= minRemovedBytes && m_firstEnd >= m_ends.size() / 2) {
        m_ends.erase(m_ends.begin(), m_ends.begin() + static_cast<std::ptrdiff_t>(m_firstEnd));
        m_firstEnd = 0;
    }
}

// Nothing is held any more.
void answer_text::release()
{
    m_textBegin = m_heldBegin;
    m_firstEnd = 0;
    m_text.clear();
    m_ends.clear();
    if (m_text.capacity() > keptCapacity) {
        std::string().swap(m_text);
    }
    if (m_ends.capacity() * sizeof(m_ends[0]) > keptCapacity) {
        std::vector<std::uint64_t>().swap(m_ends);
    }
}

} // namespace chicoryrouter

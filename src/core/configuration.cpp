// Encoding, adoption and pulling of documents.
#include "chicoryrouter/configuration.h"

#include "chicoryrouter/error.h"
#include "chicoryrouter/hash.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace chicoryrouter {

std::string encodeEnvelope(const document_envelope &envelope)
{
    const auto packed = nlohmann::json::to_msgpack({{"revision", envelope.revision}, {"text", envelope.text}});
    return {packed.begin(), packed.end()};
}

std::optional<document_envelope> decodeEnvelope(std::string_view bytes)
{
    try {
        const auto value = nlohmann::json::from_msgpack(bytes);
        return document_envelope{value.at("revision"), value.at("text")};
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

offer_result configuration::offer(std::uint64_t revision, std::string text)
{
    if (revision <= m_current->revision) {
        return offer_result::NotNewer;
    }
    const std::uint64_t hash = hashBytes(text);
    try {
        m_current = std::make_shared<revisioned_document>(makeRevisioned(revision, std::move(text), m_reader));
        return offer_result::Adopted;
    } catch (const error &fault) {
        m_lastFault = fault.detail();
        m_rejectedOffer = {revision, hash};
        return offer_result::Invalid;
    }
}

bool document_pull_timer::onNewerAdvertised(bool hasDocument, time_point now)
{
    m_dueAt = std::min(m_dueAt, hasDocument ? now + m_pullDelay : now);
    if (m_pullRunning || now < m_dueAt) {
        return false;
    }
    m_pullRunning = true;
    return true;
}

bool configuration::isNewer(const configuration_advert &other) const
{
    return other.revision > m_current->revision && other != m_rejectedOffer;
}

} // namespace chicoryrouter

// The configuration in force at one daemon, and the rule by which it changes: only a higher revision is ever adopted, from wherever
// it comes. So nothing reverts, whatever the order in which the key-value service and the peers answer.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

inline constexpr std::string_view configurationKey = "config"; // in the key-value service

// What daemons tell each other about the document they hold; the document itself is pulled only when it is newer.
struct configuration_advert
{
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;

    bool operator==(const configuration_advert &) const = default;
};

// A document as the key-value service and the peers carry it.
struct document_envelope
{
    std::uint64_t revision = 0;
    std::string text; // the operators' YAML
};

std::string encodeEnvelope(const document_envelope &envelope);
std::optional<document_envelope> decodeEnvelope(std::string_view bytes); // nothing when it is no envelope

enum class offer_result {
    Adopted,
    NotNewer, // the one in force has this revision or a higher one
    Invalid,  // newer, but this daemon cannot read it: it stays with what it has
};

class configuration
{
public:
    explicit configuration(document_reader reader = parseDocument)
        : m_reader(reader)
    {
    }

    offer_result offer(std::uint64_t revision, std::string text); // the only way in

    [[nodiscard]] std::shared_ptr<const revisioned_document> current() const { return m_current; } // never null; revision 0: none yet
    [[nodiscard]] configuration_advert advert() const { return {m_current->revision, m_current->hash}; }
    [[nodiscard]] bool isNewer(const configuration_advert &other) const;       // worth pulling
    [[nodiscard]] const std::string &lastFault() const { return m_lastFault; } // why the newest offer was Invalid

private:
    document_reader m_reader;
    std::shared_ptr<const revisioned_document> m_current = std::make_shared<revisioned_document>();
    configuration_advert m_rejectedOffer; // an Invalid offer, so that it is not pulled again and again
    std::string m_lastFault;
};

// When a daemon pulls the document that a peer told it of. Where every daemon has a source of its own, nearly all have the new document
// a moment later anyway, and pulling at the first word of it would send it once more to everybody: whoever is still behind then pulls it,
// one at a time.
class document_pull_timer
{
public:
    explicit document_pull_timer(duration pullDelay)
        : m_pullDelay(pullDelay)
    {
    }

    bool onNewerAdvertised(bool hasDocument, time_point now); // true: pull from whoever told; end it with ended(). Who holds none pulls at once
    void onAdopted() { m_dueAt = noDeadline; }
    void onPullEnded() { m_pullRunning = false; }

private:
    duration m_pullDelay;
    time_point m_dueAt = noDeadline; // set while this daemon knows that it is behind
    bool m_pullRunning = false;
};

} // namespace chicoryrouter

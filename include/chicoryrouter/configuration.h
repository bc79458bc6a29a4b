// The configuration that one daemon currently uses. It only ever adopts a document with a higher revision, whether the document comes
// from the key-value service or from a peer. So it never reverts to an older document, in whatever order the two reply.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryrouter {

inline constexpr std::string_view configurationKey = "config"; // key of the document in the key-value service

// Advertises a daemon's document to its peers. Peers pull the document itself only when it is newer than theirs.
struct configuration_advert
{
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;

    bool operator==(const configuration_advert &) const = default;
};

// The form in which a document is stored in the key-value service and sent between peers.
struct document_envelope
{
    std::uint64_t revision = 0;
    std::string text; // the operators' YAML
};

std::string encodeEnvelope(const document_envelope &envelope);
std::optional<document_envelope> decodeEnvelope(std::string_view bytes); // nullopt when `bytes` is not a valid envelope

enum class offer_result {
    Adopted,
    NotNewer, // the current document has this revision or a higher one
    Invalid,  // newer, but this daemon cannot parse it; the current document stays
};

class configuration
{
public:
    explicit configuration(document_reader reader = parseDocument)
        : m_reader(reader)
    {
    }

    offer_result offer(std::uint64_t revision, std::string text); // adopts the document if it is newer and valid; nothing else changes the current document

    [[nodiscard]] std::shared_ptr<const revisioned_document> current() const { return m_current; } // never null; revision 0: no document yet
    [[nodiscard]] configuration_advert advert() const { return {m_current->revision, m_current->hash}; }
    [[nodiscard]] bool isNewer(const configuration_advert &other) const;       // true: worth pulling
    [[nodiscard]] const std::string &lastFault() const { return m_lastFault; } // why the last Invalid offer was rejected

private:
    document_reader m_reader;
    std::shared_ptr<const revisioned_document> m_current = std::make_shared<revisioned_document>();
    configuration_advert m_rejectedOffer; // the last Invalid offer; remembered so that it is not pulled repeatedly
    std::string m_lastFault;
};

// Decides when a daemon pulls a newer document that a peer advertised. Where every daemon also has a source of its own, nearly all get the
// new document from it a moment later, and pulling at once would transfer it to every daemon a second time. So a daemon that already has a
// document first waits for `pullDelay` and pulls only if it is still behind, with one pull running at a time.
class document_pull_timer
{
public:
    explicit document_pull_timer(duration pullDelay)
        : m_pullDelay(pullDelay)
    {
    }

    bool onNewerAdvertised(bool hasDocument, time_point now); // true: pull from that peer, then call onPullEnded(). Without a document there is no delay
    void onAdopted() { m_dueAt = noDeadline; }
    void onPullEnded() { m_pullRunning = false; }

private:
    duration m_pullDelay;
    time_point m_dueAt = noDeadline; // when a pull may start; set while this daemon knows of a newer document
    bool m_pullRunning = false;
};

} // namespace chicoryrouter

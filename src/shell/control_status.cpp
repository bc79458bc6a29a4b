// What a daemon tells of itself: members, moves, failure domains, endpoints and why each is or is not used.
#include "chicoryrouter/units.h"
#include "shell/clock.h"
#include "shell/control.h"

#include <nlohmann/json.hpp>

namespace chicoryrouter {

using nlohmann::json;

namespace {

json membersJson(const membership &members)
{
    json list = json::array();
    for (const member_facts &item : members.all()) {
        list.push_back({{"instance", item.instance}, {"failure_domain", item.failureDomain}, {"state", toText(item.state)}});
    }
    return list;
}

json movesJson(const agreement &agreed)
{
    json list = json::array();
    for (const auto &[service, mover] : agreed.moves()) {
        list.push_back({{"service", service}, {"from", mover.facts().from}, {"to", mover.facts().to}, {"state", toText(mover.state())},
            {"share", mover.share()}, {"done_by", momentText(mover.facts().doneBy)}, {"reason", mover.reason()}});
    }
    return list;
}

json domainsJson(const document &content)
{
    json list = json::array();
    for (const failure_domain &item : content.failureDomains) {
        list.push_back({{"name", item.name}, {"region", item.region}, {"out", item.out}});
    }
    return list;
}

json endpointsJson(const fleet &all)
{
    json list = json::array();
    for (const endpoint_status &status : all.status()) {
        const endpoint &known = *status.known;
        list.push_back({{"id", known.id}, {"service", known.service}, {"version", known.version}, {"failure_domain", known.failureDomain},
            {"use", toText(known.use)}, {"limit", status.limit}, {"slots", known.load->slots.load()}, {"in_flight", known.load->inFlight.load()}});
    }
    return list;
}

} // namespace

std::string control::composeStatus() const
{
    const auto inForce = m_agreement.documents().inForce();
    const json status = {{"instance", m_own.instance}, {"failure_domain", m_own.failureDomain}, {"ready", !m_front.stopping && inForce->revision > 0},
        {"revision", inForce->revision}, {"last_fault", m_agreement.documents().lastFault()}, {"open_requests", m_host.openCount()},
        {"copies_held", m_copies.heldCount()}, {"members", membersJson(m_agreement.members())}, {"moves", movesJson(m_agreement)},
        {"failure_domains", domainsJson(inForce->content)}, {"placement", json::parse(m_placement.statusJson())}, {"endpoints", endpointsJson(m_fleet)}};
    return status.dump();
}

} // namespace chicoryrouter

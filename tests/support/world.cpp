// The world's events.
#include "support/world_parts.h"

#include "chicoryrouter/stream_moves.h"
#include "standin/deployment.h"

#include <algorithm>

namespace chicoryrouter::test {

std::string worldDocument()
{
    deployment_options options;
    options.initialConcurrency = 4;
    options.maxConcurrency = 16;
    options.failureDomains = {"fd-1", "fd-2", "fd-3"};
    return deploymentDocument(options);
}

world::world(const std::string &documentYaml, std::size_t nodes, std::uint64_t seed)
    : m_document(std::make_shared<revisioned_document>(makeRevisioned(1, documentYaml)))
    , m_random(seed)
{
    std::vector<std::uint64_t> members;
    for (std::size_t i = 0; i < nodes; ++i) {
        const auto &domains = m_document->content.failureDomains;
        m_nodes.push_back(std::make_unique<node>(domains[i % domains.size()].name, "entry-" + std::to_string(i + 1)));
        members.push_back(hashBytes(m_nodes.back()->name));
    }
    for (const auto &item : m_nodes) {
        item->endpoints.setDocument(m_document);
        item->endpoints.setMembers(members);
    }
    publishReports();
    std::function<void()> tick = [this] {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i]->endpoints.startDueProbes(m_now);
            refresh(i);
        }
    };
    for (duration when = tickInterval; when < 30min; when += when < 60s ? duration(tickInterval) : duration(500ms)) {
        at(worldStart + when, tick);
    }
}

world::~world() = default;

void world::say(const std::string &line)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(m_now - worldStart).count();
    m_transcript.push_back(std::to_string(millis) + "ms " + line);
}

void world::at(time_point moment, std::function<void()> what)
{
    m_events.push({moment, ++m_order, std::move(what)});
}

void world::runUntil(time_point moment)
{
    while (!m_events.empty() && m_events.top().when <= moment) {
        const event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.when);
        next.what();
    }
    m_now = std::max(m_now, moment);
}

// ---- Endpoints -------------------------------------------------------------------------------------------------------------------------

void world::addEndpoint(const std::string &id, const std::string &domain, const std::string &service, const std::string &version)
{
    fake_endpoint fresh;
    fresh.facts = {id, domain, instance_class::Reclaimable, service, version, {"10.0.0.1", 1}};
    fresh.facts.incarnation = 1;
    fresh.model = service == "writer";
    m_endpoints[id] = fresh;
    publishList();
}

void world::publishList()
{
    std::vector<instance_record> list;
    for (const auto &[id, item] : m_endpoints) {
        if (!item.gone) {
            list.push_back(item.facts);
        }
    }
    after(m_now == worldStart ? duration(0) : duration(listLag), [this, list] {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i]->dead) {
                continue;
            }
            const std::vector<reclaim_notice> notices = m_nodes[i]->endpoints.onInstanceList(list, m_now);
            refresh(i);
            for (const reclaim_notice &notice : notices) {
                std::vector<stream_cost> streams;
                std::map<std::string, std::shared_ptr<live_request>> byId;
                for (const auto &live : m_live) {
                    const endpoint_ptr where = live->machine->currentEndpoint();
                    if (live->node == i && !live->abandoned && !live->machine->isOver() && where != nullptr && where->id == notice.endpointId) {
                        streams.push_back({live->outside->id, live->machine->delivered() + 100, move_method::Resume});
                        byId[live->outside->id] = live;
                    }
                }
                planStreamMoves(streams, notice.leaveBy, m_now);
                for (const stream_cost &stream : streams) {
                    const auto live = byId.at(stream.requestId);
                    perform(live, live->machine->onReclaimNotice(notice.endpointId, notice.leaveBy, stream.method, m_now));
                }
            }
        }
    });
}

void world::publishReports()
{
    std::vector<load_report> reports;
    for (auto &[id, item] : m_endpoints) {
        if (!item.gone) {
            reports.push_back({id, item.epoch, ++item.sequence, item.completed, item.running, 0});
        }
    }
    after(linkDelay, [this, reports] {
        for (const auto &item : m_nodes) {
            for (const load_report &report : reports) {
                item->endpoints.onLoadReport(report, m_now);
            }
        }
    });
    if (m_now < worldStart + 30min) {
        after(reportInterval, [this] { publishReports(); });
    }
}

void world::refresh(std::size_t index)
{
    node &item = *m_nodes[index];
    if (item.dead) {
        return;
    }
    if (item.endpoints.isDirty()) {
        item.slots.publish(item.endpoints.buildTable());
    }
    for (const std::string &service : item.slots.servicesWaiting()) {
        serve(index, service);
    }
}

void world::setFault(const std::string &endpoint, endpoint_fault fault)
{
    m_endpoints.at(endpoint).fault = fault;
}

void world::crash(const std::string &id)
{
    fake_endpoint &item = m_endpoints.at(id);
    if (item.gone) {
        return;
    }
    item.gone = true;
    say("endpoint " + id + " is gone");
    for (const auto &live : m_live) {
        for (const auto &[attempt, where] : std::map<std::uint32_t, std::string>(live->open)) {
            if (where == id) {
                failAttempt(live, attempt, attempt_progress::MayHaveRun, error_kind::EndpointLost);
            }
        }
    }
    publishList();
}

void world::restart(const std::string &id, duration downFor)
{
    crash(id);
    after(downFor, [this, id] {
        fake_endpoint &item = m_endpoints.at(id);
        item.gone = false;
        item.running = 0;
        item.noticedAt = noDeadline;
        item.facts.leaving = false;
        ++item.facts.incarnation;
        ++item.epoch;
        say("endpoint " + id + " starts anew");
        publishList();
    });
}

void world::cut(std::size_t node, const std::string &domain, bool forward, duration span)
{
    m_cuts[{node, domain}] = forward;
    say("node " + std::to_string(node) + (forward ? " does not reach " : " does not hear ") + domain);
    after(span, [this, node, domain] { m_cuts.erase({node, domain}); });
}

bool world::isCut(const std::shared_ptr<live_request> &live, const fake_endpoint &where, bool forward) const
{
    const auto found = m_cuts.find({live->node, where.facts.failureDomain});
    return found != m_cuts.end() && found->second == forward;
}

void world::notice(const std::string &id, duration within)
{
    fake_endpoint &item = m_endpoints.at(id);
    if (item.gone || item.facts.leaving) {
        return;
    }
    item.facts.leaving = true;
    item.facts.leaveBy = m_now + within;
    item.noticedAt = m_now;
    say("endpoint " + id + " is on notice");
    publishList();
    after(within, [this, id] { crash(id); });
}

void world::noticeDomain(const std::string &domain, duration within)
{
    for (const auto &[id, item] : m_endpoints) {
        if (item.facts.failureDomain == domain) {
            notice(id, within);
        }
    }
}

void world::turnCold(const std::string &id)
{
    fake_endpoint &item = m_endpoints.at(id);
    ++item.epoch;
    item.completed = 0;
    say("endpoint " + id + " turned cold");
}

// ---- Requests --------------------------------------------------------------------------------------------------------------------------

void world::ask(const std::string &id, const std::string &route, std::uint32_t tokens, std::size_t nodeIndex, const std::string &key, const std::string &body)
{
    if (m_nodes[nodeIndex]->dead) {
        return; // nobody listens there
    }
    const document &content = m_document->content;
    const auto found = std::find_if(content.routes.begin(), content.routes.end(), [&](const contract &item) { return item.route == route; });
    world_request &outside = m_requests[id];
    outside.id = id;
    outside.route = route;
    outside.key = key;
    outside.body = body;
    outside.node = nodeIndex;
    const service_kind kind = content.findService(found->service)->kind;
    outside.tokens = kind == service_kind::Plain ? 1 : tokens;

    const auto live = std::make_shared<live_request>();
    live->outside = &outside;
    live->node = nodeIndex;
    live->service = found->service;
    request_facts facts = makeFacts(id, "demo", *found, kind, m_now);
    facts.needsClaim = !found->repeatable && !key.empty();
    facts.needsCopy = found->mustFinish && m_nodes.size() > 1;
    live->machine = std::make_unique<request_machine>(facts, m_nodes[nodeIndex]->budgets[found->service]);
    say(id + " asked at " + m_nodes[nodeIndex]->name + " on " + route);
    startRequest(live);
}

void world::startRequest(const std::shared_ptr<live_request> &live)
{
    m_live.push_back(live);
    perform(live, live->machine->start(m_now));
}

void world::leaveCaller(const std::string &id)
{
    m_requests.at(id).callerGone = true;
    for (const auto &live : m_live) {
        if (live->outside->id == id && !live->abandoned) {
            say(id + " caller left");
            perform(live, live->machine->onCallerGone(m_now));
        }
    }
}

void world::perform(const std::shared_ptr<live_request> &live, request_actions actions)
{
    for (const request_action &action : actions) {
        node &own = *m_nodes[live->node];
        if (const auto *acquire = std::get_if<acquire_slot>(&action)) {
            slot_request wanted;
            wanted.ticket = ++own.tickets;
            wanted.service = live->service;
            wanted.account = "demo";
            wanted.rank = live->machine->facts().route.rank;
            wanted.waitUntil = acquire->waitUntil;
            wanted.accepted = acquire->accepted;
            wanted.query = acquire->query;
            own.waiting[wanted.ticket] = live;
            const slot_answer answer = own.slots.acquire(wanted, m_random);
            if (answer.result != slot_answer::outcome::Queued) {
                own.waiting.erase(wanted.ticket);
                after(duration(0), [this, live, answer] { onSlotAnswer(live, answer); });
            } else {
                say(live->outside->id + " waits");
            }
        } else if (std::holds_alternative<copy_to_peer>(action)) {
            after(linkDelay * 2, [this, live] {
                if (!live->abandoned) {
                    say(live->outside->id + " copied to a peer");
                    perform(live, live->machine->onCopied(m_now));
                }
            });
        } else if (std::holds_alternative<make_claim>(action)) {
            claim_record record;
            record.nonce = live->outside->id;
            record.requestId = live->outside->id;
            record.bodyHash = hashBytes(live->outside->body);
            record.ownerDeadline = live->machine->facts().deadline;
            live->claim = std::make_unique<claim_machine>(record, live->machine->facts().waitUntil);
            claimStep(live, live->claim->start());
        } else if (const auto *transfer = std::get_if<transfer_kv>(&action)) {
            const std::string from = transfer->source->id;
            const std::string to = transfer->target->id;
            after(100ms, [this, live, from, to] {
                const bool arrived = !m_endpoints.at(from).gone && !m_endpoints.at(to).gone && m_endpoints.at(to).fault == endpoint_fault::None;
                if (!live->abandoned) {
                    say(live->outside->id + (arrived ? " KV cache moved to " : " KV cache lost on the way to ") + to);
                    perform(live, live->machine->onTransferred(arrived, m_now));
                }
            });
        } else if (const auto *sending = std::get_if<send_attempt>(&action)) {
            send(live, *sending);
        } else if (const auto *cancel = std::get_if<cancel_attempt>(&action)) {
            endAttempt(live, cancel->attempt);
        } else if (const auto *released = std::get_if<release_slot>(&action)) {
            release(live, *released);
        } else if (const auto *finished = std::get_if<finish_request>(&action)) {
            ++live->outside->ends;
            live->outside->answered = true;
            m_recomputed += live->machine->recomputedTokens();
            say(live->outside->id + " answered in full, " + std::to_string(finished->tokens) + " tokens");
            settleClaim(live);
        } else if (const auto *failed = std::get_if<fail_request>(&action)) {
            ++live->outside->ends;
            live->outside->failure = failed->kind;
            const error_response &answer = responseFor(failed->kind);
            say(live->outside->id + " failed: " + std::string(answer.name) + ", ran: " + std::string(toText(answer.ran)));
            settleClaim(live);
        }
    }
    armTimer(live);
}

void world::armTimer(const std::shared_ptr<live_request> &live)
{
    const std::uint64_t timer = ++live->timers;
    const time_point next = live->machine->nextDeadline();
    if (next == noDeadline) {
        return;
    }
    at(std::max(next, m_now), [this, live, timer] {
        if (timer == live->timers && !live->abandoned && !live->machine->isOver()) {
            perform(live, live->machine->onTimer(m_now));
        }
    });
}

void world::onSlotAnswer(const std::shared_ptr<live_request> &live, const slot_answer &answer)
{
    if (live->abandoned) {
        return;
    }
    if (answer.result == slot_answer::outcome::Granted) {
        say(live->outside->id + " to " + answer.target->id + ": " + std::string(toText(answer.reason)));
        perform(live, live->machine->onSlot(answer.target, m_now));
    } else {
        perform(live, live->machine->onNoSlot(answer.kind, m_now));
    }
}

void world::serve(std::size_t index, const std::string &service)
{
    node &own = *m_nodes[index];
    for (const served_ticket &served : own.slots.serveWaiting(service, m_now, m_random)) {
        const auto found = own.waiting.find(served.ticket);
        const std::shared_ptr<live_request> live = found->second;
        own.waiting.erase(found);
        after(duration(0), [this, live, answer = served.answer] { onSlotAnswer(live, answer); });
    }
}

void world::release(const std::shared_ptr<live_request> &live, const release_slot &action)
{
    node &own = *m_nodes[live->node];
    action.target->load->release();
    const std::string route = live->machine->facts().route.route;
    own.endpoints.onOutcome({action.target->id, live->service, action.target->version, route, action.result, action.firstTokenLatency}, m_now);
    const std::size_t index = live->node;
    after(duration(0), [this, index] { refresh(index); });
}

// ---- Attempts --------------------------------------------------------------------------------------------------------------------------

void world::send(const std::shared_ptr<live_request> &live, const send_attempt &action)
{
    live->open[action.attempt] = action.target->id;
    live->at[action.attempt] = action.target->id;
    live->outside->accepted = true;
    after(linkDelay, [this, live, action] { arrive(live, action); });
}

bool world::running(const std::shared_ptr<live_request> &live, std::uint32_t attempt) const
{
    return !live->abandoned && live->open.count(attempt) != 0;
}

void world::arrive(const std::shared_ptr<live_request> &live, const send_attempt &action)
{
    const std::uint32_t attempt = action.attempt;
    if (!running(live, attempt)) {
        return;
    }
    fake_endpoint &where = m_endpoints.at(action.target->id);
    if (where.gone || where.fault == endpoint_fault::Down) {
        failAttempt(live, attempt, attempt_progress::NotSent, error_kind::EndpointRefused);
        return;
    }
    live->machine->onSent(attempt, m_now);
    if (isCut(live, where, true)) {
        return; // the bytes are lost on the way; nobody is told
    }
    ++live->outside->sends;
    ++where.sends;
    if (where.noticedAt != noDeadline && m_now > where.noticedAt + noWorkAfterNotice) {
        m_broken.push_back(live->outside->id + " was sent to " + where.facts.id + " long after its notice");
    }
    if (where.fault == endpoint_fault::Refusing && !isCut(live, where, false)) {
        after(linkDelay, [this, live, attempt] { failAttempt(live, attempt, attempt_progress::ProvedNotRun, error_kind::EndpointRefused); });
        return;
    }
    ++live->outside->runs;
    ++where.running;
    where.mostRunning = std::max(where.mostRunning, where.running);
    if (!live->outside->key.empty() && !where.model) {
        ++m_runsByKey[live->outside->key];
    }
    const int factor = where.fault == endpoint_fault::Slow ? slowFactor : 1;
    if (where.fault == endpoint_fault::Failing) {
        after(where.firstToken, [this, live, attempt] { failAttempt(live, attempt, attempt_progress::MayHaveRun, error_kind::EndpointFailed); });
    } else if (where.fault == endpoint_fault::Silent || isCut(live, where, false)) {
        say(live->outside->id + " meets silence at " + where.facts.id);
    } else if (where.model) {
        const int left = where.fault == endpoint_fault::Cutting ? 2 : -1;
        const std::string id = where.facts.id;
        after(where.firstToken * factor, [this, live, attempt, id, from = action.resumeFrom, left] { nextToken(live, attempt, id, from, left); });
    } else {
        const std::string id = where.facts.id;
        after(plainAnswer * factor, [this, live, attempt, id] { answerPlain(live, attempt, id); });
    }
}

void world::nextToken(const std::shared_ptr<live_request> &live, std::uint32_t attempt, const std::string &id, std::uint32_t index, int left)
{
    if (!running(live, attempt)) {
        return;
    }
    fake_endpoint &where = m_endpoints.at(id);
    if (isCut(live, where, false)) {
        return; // what it sends is lost; the connection stays silent
    }
    if (left == 0) {
        failAttempt(live, attempt, attempt_progress::MayHaveRun, error_kind::EndpointLost);
        return;
    }
    const std::string &requestId = live->outside->id;
    if (index >= live->outside->tokens) {
        ++where.completed;
        endAttempt(live, attempt);
        perform(live, live->machine->onEnd(attempt, requestId, live->outside->tokens, m_now));
        return;
    }
    if (where.fault == endpoint_fault::EndingEarly && index + 1 == live->outside->tokens) {
        endAttempt(live, attempt);
        perform(live, live->machine->onEnd(attempt, requestId, live->outside->tokens, m_now));
        return;
    }
    if (where.fault == endpoint_fault::Crossed) {
        if (live->machine->onToken(attempt, "another", index, m_now) == token_result::Deliver) {
            m_broken.push_back(requestId + " was given another request's token");
        }
        if (attempt > 1 && live->machine->onToken(attempt - 1, requestId, index, m_now) == token_result::Deliver && live->open.count(attempt - 1) == 0) {
            m_broken.push_back(requestId + " was given a token of a closed attempt");
        }
    }
    const bool gap = where.fault == endpoint_fault::Gapping && index == live->outside->tokens / 2;
    const int copies = where.fault == endpoint_fault::Doubling ? 2 : 1;
    for (int i = 0; i < copies && !gap; ++i) {
        const token_result verdict = live->machine->onToken(attempt, requestId, index, m_now);
        if (verdict == token_result::Deliver) {
            deliver(live, index);
        } else if (verdict == token_result::Gap) {
            failAttempt(live, attempt, attempt_progress::MayHaveRun, error_kind::EndpointGarbage);
            return;
        }
    }
    armTimer(live);
    const int factor = where.fault == endpoint_fault::Slow ? slowFactor : 1;
    after(where.betweenTokens * factor, [this, live, attempt, id, index, left] { nextToken(live, attempt, id, index + 1, left > 0 ? left - 1 : left); });
}

void world::deliver(const std::shared_ptr<live_request> &live, std::uint32_t index)
{
    const bool copies = live->machine->facts().needsCopy;
    const auto show = [this, live, index] {
        if (live->abandoned || live->outside->callerGone) {
            return;
        }
        live->copied = index + 1;
        live->outside->seen.push_back(index);
    };
    // A copied request's token is shown only when the copy's holder has it too.
    if (copies) {
        live->copied = index + 1;
        after(linkDelay * 2, show);
    } else {
        show();
    }
}

void world::answerPlain(const std::shared_ptr<live_request> &live, std::uint32_t attempt, const std::string &id)
{
    if (!running(live, attempt)) {
        return;
    }
    fake_endpoint &where = m_endpoints.at(id);
    if (where.fault == endpoint_fault::Cutting) {
        failAttempt(live, attempt, attempt_progress::MayHaveRun, error_kind::EndpointLost);
        return;
    }
    if (live->machine->onToken(attempt, live->outside->id, 0, m_now) == token_result::Deliver) {
        deliver(live, 0);
    }
    ++where.completed;
    endAttempt(live, attempt);
    perform(live, live->machine->onEnd(attempt, live->outside->id, 1, m_now));
}

void world::endAttempt(const std::shared_ptr<live_request> &live, std::uint32_t attempt)
{
    const auto found = live->open.find(attempt);
    if (found == live->open.end()) {
        return;
    }
    fake_endpoint &where = m_endpoints.at(found->second);
    where.running -= where.running > 0 ? 1 : 0;
    live->open.erase(found);
}

void world::failAttempt(const std::shared_ptr<live_request> &live, std::uint32_t attempt, attempt_progress reach, error_kind kind)
{
    if (!running(live, attempt)) {
        return;
    }
    say(live->outside->id + " attempt " + std::to_string(attempt) + " at " + live->at.at(attempt) + " failed: " + std::string(responseFor(kind).name));
    endAttempt(live, attempt);
    perform(live, live->machine->onAttemptFailed(attempt, reach, kind, m_now));
}

} // namespace chicoryrouter::test

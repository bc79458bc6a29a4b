// Parses, validates and compares documents. The schema library validates the structure; the functions below check rules that span several
// fields.
#include "chicoryrouter/document.h"

#include "chicoryrouter/error.h"
#include "chicoryrouter/hash.h"
#include "chicoryrouter/units.h"
#include "core/yaml_json.h"
#include "document_schema.h"

#include <nlohmann/json.hpp>
#include <openssl/sha.h>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include <algorithm>
#include <array>
#include <mutex>
#include <set>

namespace chicoryrouter {

namespace {

using nlohmann::json;

// Collects validation errors, so that operators see all of them at once.
class validation_errors
{
public:
    explicit validation_errors(const std::map<std::string, int> &lines)
        : m_lines(lines)
    {
    }

    void add(const std::string &pointer, const std::string &text)
    {
        const auto line = m_lines.find(pointer);
        const std::string location = line == m_lines.end() ? "" : "line " + std::to_string(line->second) + ": ";
        m_text += (m_text.empty() ? "" : "\n") + location + (pointer.empty() ? "document" : pointer) + ": " + text;
    }

    void throwIfAny() const
    {
        if (!m_text.empty()) {
            throw error(error_kind::InvalidDocument, m_text);
        }
    }

private:
    const std::map<std::string, int> &m_lines;
    std::string m_text;
};

const valijson::Schema &compiledSchema()
{
    static const std::unique_ptr<const valijson::Schema> schema = [] {
        auto compiled = std::make_unique<valijson::Schema>();
        const json text = json::parse(detail::documentSchemaText);
        valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(text), *compiled);
        return compiled;
    }();
    return *schema;
}

std::string jsonPointer(const std::vector<std::string> &context)
{
    std::string pointer;
    for (const std::string &part : context) {
        if (part == "<root>") {
            continue;
        }
        const bool bracketed = part.size() > 2 && part.front() == '[';
        pointer += "/" + (bracketed ? part.substr(1, part.size() - 2) : part);
    }
    return pointer;
}

void checkSchema(const json &value, validation_errors &faults)
{
    // The library compiles patterns with std::regex, which uses the locale's character cache; filling that cache is not thread-safe.
    static std::mutex regexMutex;
    const std::lock_guard guard(regexMutex);
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(compiledSchema(), valijson::adapters::NlohmannJsonAdapter(value), &results)) {
        return;
    }
    valijson::ValidationResults::Error fault;
    while (results.popError(fault)) {
        const bool wrongType = fault.description.find("'type' constraint") != std::string::npos;
        faults.add(jsonPointer(fault.context), fault.description + (wrongType ? " Put names and hashes that look like numbers in quotes." : ""));
    }
    faults.throwIfAny();
}

duration durationField(const json &object, const char *key)
{
    const auto found = object.find(key);
    return found == object.end() ? duration{} : parseDuration(found->get<std::string>()).value_or(duration{});
}

service readService(const json &object)
{
    service result;
    result.name = object.at("name");
    result.kind = object.at("kind") == "model" ? service_kind::Model : service_kind::Plain;
    result.currentVersion = object.at("current_version");
    for (const json &entry : object.at("versions")) {
        version_spec version;
        version.name = entry.at("name");
        version.initialConcurrency = entry.value("initial_concurrency", version.initialConcurrency);
        version.maxConcurrency = entry.value("max_concurrency", version.maxConcurrency);
        version.refusesOldFencing = entry.value("refuses_old_fencing", version.refusesOldFencing);
        result.versions.push_back(std::move(version));
    }
    return result;
}

priority readPriority(const std::string &text)
{
    if (text == "prompt") {
        return priority::Prompt;
    }
    return text == "long" ? priority::Long : priority::Normal;
}

contract readContract(const json &object)
{
    contract result;
    result.route = object.at("name");
    result.service = object.at("service");
    result.path = object.value("path", "");
    result.repeatable = object.at("repeatable");
    result.mustFinish = object.value("must_finish", false);
    result.keyRequired = object.value("key_required", false);
    result.rank = readPriority(object.value("priority", "normal"));
    result.firstTokenTarget = durationField(object, "first_token_target");
    result.betweenTokensTarget = durationField(object, "between_tokens_target");
    result.deadline = durationField(object, "deadline");
    result.queueLimit = durationField(object, "queue_limit");
    if (result.queueLimit == duration{}) {
        result.queueLimit = result.deadline / 2;
    }
    return result;
}

instance_class readClass(const std::string &text)
{
    return text == "on_demand" ? instance_class::OnDemand : instance_class::Reclaimable;
}

document readDocument(const json &root)
{
    document result;
    for (const json &entry : root.at("services")) {
        result.services.push_back(readService(entry));
    }
    for (const json &entry : root.at("failure_domains")) {
        result.failureDomains.push_back({entry.at("name"), entry.at("region"), entry.value("out", false)});
    }
    for (const json &entry : root.at("accounts")) {
        result.accounts.push_back({entry.at("name"), entry.value("weight", 1.0), entry.at("max_in_flight"), entry.at("token_hashes")});
    }
    for (const json &entry : root.at("routes")) {
        result.routes.push_back(readContract(entry));
    }
    for (const json &entry : root.value("moves", json::array())) {
        const auto startAt = parseTimestamp(entry.at("start_at").get<std::string>()).value_or(time_point{});
        const auto doneBy = parseTimestamp(entry.at("done_by").get<std::string>()).value_or(time_point{});
        result.moves.push_back({entry.at("service"), entry.at("from"), entry.at("to"), startAt, doneBy});
    }
    for (const json &entry : root.value("prices", json::array())) {
        result.prices.push_back({entry.at("failure_domain"), readClass(entry.at("class")), entry.at("per_hour")});
    }
    for (const json &entry : root.value("placement", json::array())) {
        result.placement.push_back({entry.at("service"), entry.at("min_endpoints"), entry.at("max_endpoints")});
    }
    return result;
}

std::string fieldPointer(const char *list, std::size_t index, const char *field)
{
    return std::string("/") + list + "/" + std::to_string(index) + "/" + field;
}

template<typename T, typename Name>
void checkUnique(const std::vector<T> &items, const char *list, Name nameOf, validation_errors &faults)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (!seen.insert(nameOf(items[i])).second) {
            faults.add(fieldPointer(list, i, "name"), "'" + nameOf(items[i]) + "' is listed twice");
        }
    }
}

bool hasVersion(const service &owner, const std::string &name)
{
    return std::any_of(owner.versions.begin(), owner.versions.end(), [&](const version_spec &version) { return version.name == name; });
}

void checkServices(const document &content, validation_errors &faults)
{
    checkUnique(
        content.services, "services", [](const service &item) { return item.name; }, faults);
    for (std::size_t i = 0; i < content.services.size(); ++i) {
        const service &item = content.services[i];
        if (!hasVersion(item, item.currentVersion)) {
            faults.add(fieldPointer("services", i, "current_version"), "version '" + item.currentVersion + "' is not listed");
        }
        std::set<std::string> seen;
        for (const version_spec &version : item.versions) {
            if (!seen.insert(version.name).second) {
                faults.add(fieldPointer("services", i, "versions"), "version '" + version.name + "' is listed twice");
            }
            if (version.initialConcurrency > version.maxConcurrency) {
                faults.add(fieldPointer("services", i, "versions"), "version '" + version.name + "': initial_concurrency is above max_concurrency");
            }
        }
    }
}

void checkAccounts(const document &content, validation_errors &faults)
{
    checkUnique(
        content.accounts, "accounts", [](const client_account &item) { return item.name; }, faults);
    std::set<std::string> hashes;
    for (std::size_t i = 0; i < content.accounts.size(); ++i) {
        for (const std::string &hash : content.accounts[i].tokenHashes) {
            if (!hashes.insert(hash).second) {
                faults.add(fieldPointer("accounts", i, "token_hashes"), "a token hash is listed more than once; each must be unique among all accounts");
            }
        }
    }
}

void checkRoute(const document &content, std::size_t index, validation_errors &faults)
{
    const contract &route = content.routes[index];
    const service *target = content.findService(route.service);
    if (target == nullptr) {
        faults.add(fieldPointer("routes", index, "service"), "service '" + route.service + "' is not listed");
        return;
    }
    const bool plain = target->kind == service_kind::Plain;
    if (plain == route.path.empty()) {
        faults.add(
            fieldPointer("routes", index, "path"), plain ? "a route to a plain service needs a path" : "a route to a model service must not have a path");
    }
    if (route.deadline <= duration{}) {
        faults.add(fieldPointer("routes", index, "deadline"), "deadline must be above zero");
    }
    if (route.queueLimit > route.deadline) {
        faults.add(fieldPointer("routes", index, "queue_limit"), "queue_limit is above the deadline");
    }
    if (route.repeatable && route.keyRequired) {
        faults.add(fieldPointer("routes", index, "key_required"), "a repeatable route must not set key_required");
    }
    if (plain && route.mustFinish && !route.repeatable) {
        faults.add(fieldPointer("routes", index, "must_finish"),
            "on a plain service, must_finish requires a repeatable route: another instance could not resume the call otherwise");
    }
}

void checkMoves(const document &content, validation_errors &faults)
{
    std::set<std::string> servicesWithMove;
    for (std::size_t i = 0; i < content.moves.size(); ++i) {
        const version_move &move = content.moves[i];
        const service *movedService = content.findService(move.service);
        if (movedService == nullptr) {
            faults.add(fieldPointer("moves", i, "service"), "service '" + move.service + "' is not listed");
            continue;
        }
        if (!servicesWithMove.insert(move.service).second) {
            faults.add(fieldPointer("moves", i, "service"), "service '" + move.service + "' has two moves");
        }
        if (!hasVersion(*movedService, move.to)) {
            faults.add(fieldPointer("moves", i, "to"), "version '" + move.to + "' is not listed");
        }
        if (move.from != movedService->currentVersion) {
            faults.add(fieldPointer("moves", i, "from"), "'from' is not the current version");
        }
        if (move.from == move.to) {
            faults.add(fieldPointer("moves", i, "to"), "'to' is the same version as 'from'");
        }
        if (move.doneBy <= move.startAt) {
            faults.add(fieldPointer("moves", i, "done_by"), "'done_by' is not after 'start_at'");
        }
    }
}

void checkPlacement(const document &content, validation_errors &faults)
{
    for (std::size_t i = 0; i < content.prices.size(); ++i) {
        if (content.findFailureDomain(content.prices[i].failureDomain) == nullptr) {
            faults.add(fieldPointer("prices", i, "failure_domain"), "failure domain '" + content.prices[i].failureDomain + "' is not listed");
        }
    }
    for (std::size_t i = 0; i < content.placement.size(); ++i) {
        const placement_bounds &bounds = content.placement[i];
        if (content.findService(bounds.service) == nullptr) {
            faults.add(fieldPointer("placement", i, "service"), "service '" + bounds.service + "' is not listed");
        }
        if (bounds.minEndpoints > bounds.maxEndpoints) {
            faults.add(fieldPointer("placement", i, "min_endpoints"), "min_endpoints is above max_endpoints");
        }
    }
}

void crossCheck(const document &content, validation_errors &faults)
{
    checkServices(content, faults);
    checkUnique(
        content.failureDomains, "failure_domains", [](const failure_domain &item) { return item.name; }, faults);
    checkAccounts(content, faults);
    checkUnique(
        content.routes, "routes", [](const contract &item) { return item.route; }, faults);
    for (std::size_t i = 0; i < content.routes.size(); ++i) {
        checkRoute(content, i, faults);
    }
    checkMoves(content, faults);
    checkPlacement(content, faults);
    faults.throwIfAny();
}

template<typename T, typename Match>
const T *findFirst(const std::vector<T> &items, Match match)
{
    const auto found = std::find_if(items.begin(), items.end(), match);
    return found == items.end() ? nullptr : &*found;
}

std::string describePatchOperation(const json &step, const json &before)
{
    const std::string path = step.at("path");
    const std::string operation = step.at("op");
    if (operation == "add") {
        return "+ " + path + ": " + step.at("value").dump();
    }
    const std::string old = before.at(json::json_pointer(path)).dump();
    return operation == "remove" ? "- " + path + ": " + old : "~ " + path + ": " + old + " -> " + step.at("value").dump();
}

} // namespace

document parseDocument(std::string_view yaml)
{
    if (yaml.size() > maxDocumentBytes) {
        throw error(error_kind::InvalidDocument, "the document is larger than " + std::to_string(maxDocumentBytes) + " bytes");
    }
    detail::yaml_value value;
    try {
        value = detail::readYaml(yaml);
    } catch (const error &fault) {
        throw error(error_kind::InvalidDocument, fault.detail());
    }
    validation_errors faults(value.lines);
    checkSchema(value.json, faults);
    document content = readDocument(value.json);
    crossCheck(content, faults);
    return content;
}

revisioned_document makeRevisioned(std::uint64_t revision, std::string text, document_reader reader)
{
    revisioned_document result;
    result.content = reader(text);
    result.revision = revision;
    result.hash = hashBytes(text);
    result.text = std::move(text);
    return result;
}

std::vector<std::string> documentDifferences(std::string_view before, std::string_view after)
{
    const json old = before.empty() ? json::object() : detail::readYaml(before).json;
    const json updated = detail::readYaml(after).json;
    std::vector<std::string> lines;
    json current = old;
    for (const json &step : json::diff(old, updated)) {
        lines.push_back(describePatchOperation(step, current));
        current = current.patch(json::array({step}));
    }
    return lines;
}

std::string documentJson(std::string_view yaml)
{
    return yaml.empty() ? "{}" : detail::readYaml(yaml).json.dump(2);
}

std::string documentSchema()
{
    return detail::documentSchemaText;
}

std::string hashToken(std::string_view token)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digest) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string_view toText(priority rank)
{
    constexpr std::array<std::string_view, 3> names = {"prompt", "normal", "long"};
    return names.at(static_cast<std::size_t>(rank));
}

std::string_view toText(instance_class cls)
{
    return cls == instance_class::OnDemand ? "on_demand" : "reclaimable";
}

const service *document::findService(std::string_view name) const
{
    return findFirst(services, [&](const service &item) { return item.name == name; });
}

const failure_domain *document::findFailureDomain(std::string_view name) const
{
    return findFirst(failureDomains, [&](const failure_domain &item) { return item.name == name; });
}

const client_account *document::findAccountByTokenHash(std::string_view hash) const
{
    return findFirst(
        accounts, [&](const client_account &item) { return std::find(item.tokenHashes.begin(), item.tokenHashes.end(), hash) != item.tokenHashes.end(); });
}

const contract *document::findModelRoute(std::string_view model) const
{
    return findFirst(routes, [&](const contract &item) { return item.path.empty() && item.route == model; });
}

namespace {

// Of the routes that `allowed` accepts, returns the one whose path is the longest prefix of `path`; null when there is none.
template<typename Allowed>
const contract *longestMatch(const std::vector<contract> &routes, std::string_view path, Allowed allowed)
{
    const contract *best = nullptr;
    for (const contract &item : routes) {
        const bool matches = allowed(item) && path.substr(0, item.path.size()) == item.path;
        if (matches && (best == nullptr || item.path.size() > best->path.size())) {
            best = &item;
        }
    }
    return best;
}

} // namespace

const contract *document::findPlainRoute(std::string_view path) const
{
    return longestMatch(routes, path, [](const contract &item) { return !item.path.empty(); });
}

const contract *document::findRelayedRoute(std::string_view host, std::string_view path) const
{
    return longestMatch(routes, path, [host](const contract &item) { return item.host == host; });
}

const version_move *document::findMove(std::string_view name) const
{
    return findFirst(moves, [&](const version_move &item) { return item.service == name; });
}

} // namespace chicoryrouter

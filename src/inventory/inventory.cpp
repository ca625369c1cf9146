#include "inventory/inventory.h"

#include "inventory/documentreader.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace bamboohold {

namespace {

constexpr std::int64_t s_maxLatencyUs = 10'000'000;
constexpr std::int64_t s_maxTokens = 1'000'000'000'000'000;
constexpr std::int64_t s_maxPort = 65535;
constexpr std::int64_t s_maxSlots = 100'000;

absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::any_of(names.begin(), names.end(), [name](const std::string &entry) {
        return entry == "*" || entry == name;
    });
}

/// The names used so far in one list; a duplicate is an error at its path.
class NameSet
{
public:
    void add(DocumentReader &reader, const std::string &name)
    {
        if (!name.empty() && !m_names.insert(name).second) {
            reader.fail("name", absl::StrCat("'", name, "' is used twice"));
        }
    }

    void require(DocumentReader &reader, std::string_view field, const std::string &name) const
    {
        if (!name.empty() && name != "*" && !m_names.contains(name)) {
            reader.fail(field, absl::StrCat("'", name, "' is not defined in this document"));
        }
    }

private:
    absl::flat_hash_set<std::string> m_names;
};

/// All names of a document, to check references between its lists.
struct Names {
    NameSet failureDomains;
    NameSet hosts;
    NameSet models;
    NameSet targets;
    NameSet budgets;
    NameSet teams;
};

void readFailureDomains(DocumentReader &root, Inventory &inventory, Names &names)
{
    for (DocumentReader &reader : root.objects("failure_domains")) {
        reader.allowOnly({"name"});
        inventory.failureDomains.push_back({.name = reader.text("name")});
        names.failureDomains.add(reader, inventory.failureDomains.back().name);
    }
    for (DocumentReader &reader : root.objects("links")) {
        reader.allowOnly({"from", "to", "latency_us"});
        Link link{
            .from = reader.text("from"), .to = reader.text("to"), .latencyUs = reader.requiredNumber("latency_us", 0, s_maxLatencyUs)};
        names.failureDomains.require(reader, "from", link.from);
        names.failureDomains.require(reader, "to", link.to);
        inventory.links.push_back(std::move(link));
    }
}

void readHosts(DocumentReader &root, Inventory &inventory, Names &names)
{
    absl::flat_hash_set<std::string> addresses;
    for (DocumentReader &reader : root.objects("hosts")) {
        reader.allowOnly({"name", "failure_domain", "address", "role"});
        Host host{.name = reader.text("name"), .failureDomain = reader.text("failure_domain"), .address = reader.text("address")};
        names.hosts.add(reader, host.name);
        names.failureDomains.require(reader, "failure_domain", host.failureDomain);
        boost::system::error_code error;
        boost::asio::ip::make_address(host.address, error);
        if (error) {
            reader.fail("address", "must be an IP address");
        } else if (!addresses.insert(host.address).second) {
            reader.fail("address", "is used by two hosts");
        }
        const std::string role = reader.text("role");
        if (role != "entry" && role != "target") {
            reader.fail("role", "must be 'entry' or 'target'");
        }
        host.role = role == "entry" ? HostRole::Entry : HostRole::Target;
        inventory.hosts.push_back(std::move(host));
    }
}

void readTargets(DocumentReader &root, Inventory &inventory, Names &names)
{
    for (DocumentReader &reader : root.objects("models")) {
        reader.allowOnly({"name", "version"});
        inventory.models.push_back({.name = reader.text("name"), .version = reader.text("version")});
        names.models.add(reader, inventory.models.back().name);
    }
    for (DocumentReader &reader : root.objects("targets")) {
        reader.allowOnly({"name", "host", "model", "service", "slots", "engine_port", "link_port", "operations_port"});
        Target target{.name = reader.text("name"), .host = reader.text("host")};
        target.model = reader.text("model", true);
        target.service = reader.text("service", true);
        target.slots = static_cast<std::uint32_t>(reader.number("slots", 1, s_maxSlots, target.slots));
        target.enginePort = static_cast<std::uint16_t>(reader.number("engine_port", 1, s_maxPort, target.enginePort));
        target.linkPort = static_cast<std::uint16_t>(reader.number("link_port", 1, s_maxPort, target.linkPort));
        target.operationsPort = static_cast<std::uint16_t>(reader.number("operations_port", 1, s_maxPort, target.operationsPort));
        names.targets.add(reader, target.name);
        names.hosts.require(reader, "host", target.host);
        names.models.require(reader, "model", target.model);
        if (target.model.empty() == target.service.empty()) {
            reader.fail("model", "exactly one of 'model' and 'service' is required");
        }
        inventory.targets.push_back(std::move(target));
    }
}

void readTeams(DocumentReader &root, Inventory &inventory, Names &names)
{
    for (DocumentReader &reader : root.objects("budgets")) {
        reader.allowOnly({"name", "prepaid"});
        inventory.budgets.push_back({.name = reader.text("name"), .prepaid = reader.requiredNumber("prepaid", 0, s_maxTokens)});
        names.budgets.add(reader, inventory.budgets.back().name);
    }
    for (DocumentReader &reader : root.objects("teams")) {
        reader.allowOnly({"name", "budget", "weight", "key_salt", "key_sha256"});
        Team team{.name = reader.text("name"), .budget = reader.text("budget"), .weight = reader.positive("weight", 1.0)};
        team.keySalt = reader.text("key_salt", true);
        team.keySha256 = reader.text("key_sha256", true);
        names.teams.add(reader, team.name);
        names.budgets.require(reader, "budget", team.budget);
        if (absl::StrContains(team.name, ".")) {
            reader.fail("name", "must not contain '.', which separates team and secret in a key");
        }
        inventory.teams.push_back(std::move(team));
    }
}

bool hasService(const Inventory &inventory, std::string_view service)
{
    return service == "*" || std::any_of(inventory.targets.begin(), inventory.targets.end(), [service](const Target &target) {
               return target.service == service;
           });
}

void requireService(DocumentReader &reader, const Inventory &inventory, std::string_view field, const std::string &service)
{
    if (!service.empty() && !hasService(inventory, service)) {
        reader.fail(field, absl::StrCat("no target offers the service '", service, "'"));
    }
}

void readRules(DocumentReader &root, Inventory &inventory, const Names &names)
{
    for (DocumentReader &reader : root.objects("access")) {
        reader.allowOnly({"team", "models", "services"});
        AccessRule rule{.team = reader.text("team"), .models = reader.texts("models"), .services = reader.texts("services")};
        names.teams.require(reader, "team", rule.team);
        for (const std::string &model : rule.models) {
            names.models.require(reader, "models", model);
        }
        for (const std::string &service : rule.services) {
            requireService(reader, inventory, "services", service);
        }
        inventory.access.push_back(std::move(rule));
    }
    for (DocumentReader &reader : root.objects("non_idempotent")) {
        reader.allowOnly({"service", "method", "path"});
        NonIdempotentRule rule{.service = reader.text("service"), .method = reader.text("method"), .path = reader.text("path")};
        requireService(reader, inventory, "service", rule.service);
        inventory.nonIdempotent.push_back(std::move(rule));
    }
}

template<typename List, typename Write>
boost::json::array writeList(const List &list, Write write)
{
    boost::json::array array;
    for (const auto &item : list) {
        array.emplace_back(write(item));
    }
    return array;
}

boost::json::array writeTexts(const std::vector<std::string> &texts)
{
    return writeList(texts, [](const std::string &text) {
        return boost::json::string(text);
    });
}

boost::json::object writeTarget(const Target &target)
{
    boost::json::object object{{"name", target.name}, {"host", target.host}, {"slots", target.slots}, {"engine_port", target.enginePort}};
    object["link_port"] = target.linkPort;
    object["operations_port"] = target.operationsPort;
    if (target.isService()) {
        object["service"] = target.service;
    } else {
        object["model"] = target.model;
    }
    return object;
}

boost::json::object writeTeam(const Team &team)
{
    boost::json::object object{{"name", team.name}, {"budget", team.budget}, {"weight", team.weight}};
    if (!team.keySha256.empty()) {
        object["key_salt"] = team.keySalt;
        object["key_sha256"] = team.keySha256;
    }
    return object;
}

}

const Host *Inventory::findHost(std::string_view hostName) const
{
    const auto found = std::find_if(hosts.begin(), hosts.end(), [hostName](const Host &host) {
        return host.name == hostName;
    });
    return found == hosts.end() ? nullptr : &*found;
}

const Team *Inventory::findTeam(std::string_view teamName) const
{
    const auto found = std::find_if(teams.begin(), teams.end(), [teamName](const Team &team) {
        return team.name == teamName;
    });
    return found == teams.end() ? nullptr : &*found;
}

std::int64_t Inventory::latencyUs(std::string_view from, std::string_view to) const
{
    if (from == to) {
        return 0;
    }
    for (const Link &link : links) {
        if ((link.from == from && link.to == to) || (link.from == to && link.to == from)) {
            return link.latencyUs;
        }
    }
    return defaultLinkLatencyUs;
}

bool Inventory::mayUseModel(std::string_view team, std::string_view model) const
{
    return std::any_of(access.begin(), access.end(), [&](const AccessRule &rule) {
        return (rule.team == "*" || rule.team == team) && contains(rule.models, model);
    });
}

bool Inventory::mayUseService(std::string_view team, std::string_view service) const
{
    return std::any_of(access.begin(), access.end(), [&](const AccessRule &rule) {
        return (rule.team == "*" || rule.team == team) && contains(rule.services, service);
    });
}

bool Inventory::isNonIdempotent(std::string_view service, std::string_view method, std::string_view path) const
{
    return std::any_of(nonIdempotent.begin(), nonIdempotent.end(), [&](const NonIdempotentRule &rule) {
        return (rule.service == "*" || rule.service == service) && (rule.method == "*" || rule.method == method)
            && absl::StartsWith(view(path), rule.path);
    });
}

InventoryReading readInventory(std::string_view json)
{
    InventoryReading reading;
    boost::json::error_code error;
    const boost::json::value document = boost::json::parse({json.data(), json.size()}, error);
    if (error || !document.is_object()) {
        reading.errors.push_back({.path = "/", .message = error ? "is not JSON: " + error.message() : "must be an object"});
        return reading;
    }
    DocumentReader root(document.get_object(), "", reading.errors);
    root.allowOnly({"name",
                    "client_latency_us",
                    "default_link_latency_us",
                    "failure_domains",
                    "links",
                    "hosts",
                    "models",
                    "targets",
                    "budgets",
                    "teams",
                    "access",
                    "non_idempotent"});
    Inventory inventory;
    Names names;
    inventory.name = root.text("name");
    inventory.clientLatencyUs = root.number("client_latency_us", 0, s_maxLatencyUs, 0);
    inventory.defaultLinkLatencyUs = root.number("default_link_latency_us", 0, s_maxLatencyUs, 0);
    readFailureDomains(root, inventory, names);
    readHosts(root, inventory, names);
    readTargets(root, inventory, names);
    readTeams(root, inventory, names);
    readRules(root, inventory, names);
    if (reading.errors.empty()) {
        reading.inventory = std::move(inventory);
    }
    return reading;
}

std::string writeInventory(const Inventory &inventory)
{
    boost::json::object root;
    root["name"] = inventory.name;
    root["client_latency_us"] = inventory.clientLatencyUs;
    root["default_link_latency_us"] = inventory.defaultLinkLatencyUs;
    root["failure_domains"] = writeList(inventory.failureDomains, [](const FailureDomain &domain) {
        return boost::json::object{{"name", domain.name}};
    });
    root["links"] = writeList(inventory.links, [](const Link &link) {
        return boost::json::object{{"from", link.from}, {"to", link.to}, {"latency_us", link.latencyUs}};
    });
    root["hosts"] = writeList(inventory.hosts, [](const Host &host) {
        return boost::json::object{{"name", host.name},
                                   {"failure_domain", host.failureDomain},
                                   {"address", host.address},
                                   {"role", host.role == HostRole::Entry ? "entry" : "target"}};
    });
    root["models"] = writeList(inventory.models, [](const Model &model) {
        return boost::json::object{{"name", model.name}, {"version", model.version}};
    });
    root["targets"] = writeList(inventory.targets, writeTarget);
    root["budgets"] = writeList(inventory.budgets, [](const Budget &budget) {
        return boost::json::object{{"name", budget.name}, {"prepaid", budget.prepaid}};
    });
    root["teams"] = writeList(inventory.teams, writeTeam);
    root["access"] = writeList(inventory.access, [](const AccessRule &rule) {
        return boost::json::object{{"team", rule.team}, {"models", writeTexts(rule.models)}, {"services", writeTexts(rule.services)}};
    });
    root["non_idempotent"] = writeList(inventory.nonIdempotent, [](const NonIdempotentRule &rule) {
        return boost::json::object{{"service", rule.service}, {"method", rule.method}, {"path", rule.path}};
    });
    return boost::json::serialize(root);
}

}

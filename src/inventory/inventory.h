#pragma once

#include "clock/instant.h"

#include <absl/container/flat_hash_map.h>
#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohold {

/// A part of the site that fails as a unit: a building, a hall, a power feed.
struct FailureDomain {
    std::string name;
};

/// The network path between two failure domains. The latency is one way, in microseconds.
struct Link {
    std::string from;
    std::string to;
    std::int64_t latencyUs = 0;
};

/// The purpose of a host.
enum class HostRole {
    Entry,
    Target,
};

/// A machine of the asset register. It keeps no data across a restart.
struct Host {
    std::string name;
    std::string failureDomain;
    std::string address;
    HostRole role = HostRole::Target;
};

/// A version of a model, served by engines.
struct Model {
    std::string name;
    std::string version;
};

/// A model engine or an instance of a plain service on one host, with a sidecar beside it.
struct Target {
    std::string name;
    std::string host;
    /// Name of the model; empty for a plain service.
    std::string model;
    /// Name of the plain service; empty for a model engine.
    std::string service;
    /// Maximum number of requests that it runs concurrently.
    std::uint32_t slots = 1;
    std::uint16_t enginePort = 9000;
    std::uint16_t linkPort = 7400;
    std::uint16_t operationsPort = 7401;

    /// True for a plain service.
    bool isService() const
    {
        return !service.empty();
    }
};

/// Tokens paid for in advance. Several teams may draw on one budget.
struct Budget {
    std::string name;
    Tokens prepaid = 0;
};

/// A unit of the customer with its own key. Only a salted hash of the key is stored.
struct Team {
    std::string name;
    std::string budget;
    /// Share of a busy fleet relative to that of other teams.
    double weight = 1.0;
    std::string keySalt;
    std::string keySha256;
};

/// The models and services that a team may use; "*" matches every team, model or service.
struct AccessRule {
    std::string team;
    std::vector<std::string> models;
    std::vector<std::string> services;
};

/// Calls of a plain service that must not run twice. The path is a prefix; "*" matches every service or method.
struct NonIdempotentRule {
    std::string service;
    std::string method;
    std::string path;
};

/// An error in a document, with the path of the field.
struct DocumentError {
    std::string path;
    std::string message;
};

/// Everything that operators configure: the asset register and the rules. Immutable once accepted; Configuration assigns version numbers.
struct Inventory {
    std::string name;
    std::int64_t clientLatencyUs = 0;
    std::int64_t defaultLinkLatencyUs = 0;
    std::vector<FailureDomain> failureDomains;
    std::vector<Link> links;
    std::vector<Host> hosts;
    std::vector<Model> models;
    std::vector<Target> targets;
    std::vector<Budget> budgets;
    std::vector<Team> teams;
    std::vector<AccessRule> access;
    std::vector<NonIdempotentRule> nonIdempotent;

    /// The host with this name, or null.
    const Host *findHost(std::string_view hostName) const;

    /// The team with this name, or null.
    const Team *findTeam(std::string_view teamName) const;

    /// One-way latency between two failure domains in microseconds; 0 within a domain.
    std::int64_t latencyUs(std::string_view from, std::string_view to) const;

    /// True if a rule allows the team to use the model.
    bool mayUseModel(std::string_view team, std::string_view model) const;

    /// True if a rule allows the team to use the plain service.
    bool mayUseService(std::string_view team, std::string_view service) const;

    /// True if a rule marks the call as one that must not run twice.
    bool isNonIdempotent(std::string_view service, std::string_view method, std::string_view path) const;
};

/// The result of reading a document: an inventory, or all errors found in it.
struct InventoryReading {
    std::optional<Inventory> inventory;
    std::vector<DocumentError> errors;
};

/// Reads and validates the whole document: types, ranges, duplicate names, references, addresses. Reports all errors, not only the first.
InventoryReading readInventory(std::string_view json);

/// Serializes an inventory to a document that readInventory() reads back with the same content.
std::string writeInventory(const Inventory &inventory);

}

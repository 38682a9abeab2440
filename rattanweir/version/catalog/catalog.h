// The configuration in force: the newest accepted version of each of the four
// sections. Used by the product's own interface; the users' platform uses
// version/fleet_config.
//
//   Catalog catalog;
//   catalog.Offer({ .m_kind = SectionKind::Routes, .m_version = ..., ... });
//   const Route* route = catalog.FindRoute("/v1/chat", ModelId("guide"));
//
// Versions only increase: an offer that is not newer than the version in force
// is ignored, whatever its source. A rejected offer does not change the version
// in force and is kept in the section's status for operators. Returned
// pointers are valid until the next accepted offer of the same section; a
// caller that suspends must copy what it needs. Not thread-safe.

#pragma once

#include "rattanweir/version/section/section.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattanweir {

// One version of one section, as published or as relayed by a peer.
struct SectionOffer
{
  SectionKind m_kind = SectionKind::ClientAccounts;
  SectionVersion m_version;
  SectionText m_text;
};

enum class OfferOutcome
{
  // The offered version is now in force.
  Accepted,
  // The offered version is not newer than the version in force, which stays.
  NotNewer,
  // The text has faults; the version in force stays.
  Rejected,
};

// The state of one section as reported to operators.
struct SectionStatus
{
  SectionKind m_kind = SectionKind::ClientAccounts;
  // Empty until a first version is accepted.
  std::optional<SectionVersion> m_inForce;
  // The newest rejected version and its faults; empty once a version that is
  // not older has been accepted.
  std::optional<SectionVersion> m_rejected;
  std::vector<SectionFault> m_faults;
  std::uint64_t m_acceptedCount = 0;
  // The newest rejected version with an unchanged text is not counted again.
  std::uint64_t m_rejectedCount = 0;
  // Counts offers that have the version number in force but another text: two
  // texts were published under one number, so instances may disagree.
  std::uint64_t m_conflictCount = 0;
};

class Catalog
{
public:
  Catalog();
  ~Catalog();
  Catalog(const Catalog&) = delete;
  Catalog& operator=(const Catalog&) = delete;

  // Validates the offer and puts it in force if it is newer and has no fault.
  OfferOutcome Offer(const SectionOffer& aOffer);

  // Registers a callback that runs after each accepted offer. Callbacks run in
  // the order of registration.
  void OnAccepted(std::function<void(SectionKind)> aFunction);

  // Returns whether all four sections have a version in force.
  bool IsComplete() const;

  SectionStatus Status(SectionKind aKind) const;

  // Returns the version in force with its text, to be relayed to peers; nullopt
  // if the section has none.
  std::optional<SectionOffer> InForce(SectionKind aKind) const;

  // Returns the route that matches a path (without its query) and model, or
  // null. No route matches a path that a backend server might normalize to
  // another path: one with an empty, `.` or `..` segment, a backslash, a `;`,
  // or a percent escape that is malformed or encodes a character that needs no
  // escape.
  const Route* FindRoute(const std::string& aPath,
                         const std::optional<ModelId>& aModel) const;
  const Route* FindRoute(const RouteId& aId) const;

  // Returns the grant of a key presented by a caller, or null. Digests are
  // compared in constant time, so that the duration reveals nothing about
  // similar keys.
  const KeyGrant* FindKey(const std::string& aPresentedKey) const;

  // Returns whether the key is granted to this client account.
  bool IsGranted(const KeyId& aKey, const ClientAccountId& aAccount) const;

  // Returns the client account, or null.
  const ClientAccount* FindClientAccount(const ClientAccountId& aId) const;
  const ClientAccountsSection& ClientAccounts() const;

  // Returns the backend servers of a pool in one region, including draining
  // ones.
  std::vector<const BackendServer*> BackendServersOf(
    const PoolId& aPool,
    const RegionId& aRegion) const;

  // Returns the ids of all backend servers, including draining ones.
  std::set<BackendServerId> BackendServerIds() const;

  // Returns the regions in which a pool has a backend server that is not
  // draining.
  std::vector<RegionId> RegionsOf(const PoolId& aPool) const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir

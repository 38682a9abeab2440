// The configuration in force: the newest accepted version of each section.
//
//   Catalog catalog;
//   catalog.Offer({ .m_kind = SectionKind::Routes, .m_version = ..., ... });
//   const Route* route = catalog.FindRoute("/v1/chat", ModelId("guide"));
//
// A version in force never goes back: an offer that is not newer is not taken,
// wherever it comes from. A rejected offer changes nothing and is remembered
// for operators. Pointers stay good until the next accepted offer of the same
// section; code that waits copies what it needs. For one thread.

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

// One version of one section, as published or relayed.
struct SectionOffer
{
  SectionKind m_kind = SectionKind::ClientAccounts;
  SectionVersion m_version;
  SectionText m_text;
};

enum class OfferOutcome
{
  // Now in force.
  Accepted,
  // The same version or an older one; nothing changed.
  NotNewer,
  // Faulty; the version in force stays.
  Rejected,
};

// What operators are told of one section.
struct SectionStatus
{
  SectionKind m_kind = SectionKind::ClientAccounts;
  // Nothing until a first version is accepted.
  std::optional<SectionVersion> m_inForce;
  // The newest version that was rejected after that, with its faults.
  std::optional<SectionVersion> m_rejected;
  std::vector<SectionFault> m_faults;
  std::uint64_t m_acceptedCount = 0;
  // The same faulty text offered again is not counted again.
  std::uint64_t m_rejectedCount = 0;
  // Offers of the version in force with another text: two texts were
  // published under one number, and instances may differ.
  std::uint64_t m_conflictCount = 0;
};

class Catalog
{
public:
  Catalog();
  ~Catalog();
  Catalog(const Catalog&) = delete;
  Catalog& operator=(const Catalog&) = delete;

  // Checks the offer and puts it in force if it is newer and has no fault.
  OfferOutcome Offer(const SectionOffer& aOffer);

  // Runs after each accepted offer, in the order of registration.
  void OnAccepted(std::function<void(SectionKind)> aFunction);

  // Whether all four sections have a version in force.
  bool IsComplete() const;

  SectionStatus Status(SectionKind aKind) const;

  // The version in force with its text, for peers that ask; nothing if there
  // is none.
  std::optional<SectionOffer> InForce(SectionKind aKind) const;

  // The route for a path (without its query) and model, or null. No route
  // takes a path that a backend server might read as another one: with an
  // empty, `.` or `..` segment, a backslash, a `;`, or an escape that is
  // malformed or that stands for a character that needs none.
  const Route* FindRoute(const std::string& aPath,
                         const std::optional<ModelId>& aModel) const;
  const Route* FindRoute(const RouteId& aId) const;

  // The grant of a key as its caller shows it, or null. Takes the same time
  // whichever key comes near.
  const KeyGrant* FindKey(const std::string& aPresentedKey) const;

  // Whether this key is granted, and to this client account.
  bool IsGranted(const KeyId& aKey, const ClientAccountId& aAccount) const;

  // The client account, or null.
  const ClientAccount* FindClientAccount(const ClientAccountId& aId) const;
  const ClientAccountsSection& ClientAccounts() const;

  // The backend servers of a pool in one region, leaving ones included.
  std::vector<const BackendServer*> BackendServersOf(
    const PoolId& aPool,
    const RegionId& aRegion) const;

  // All backend servers of the section, leaving ones included.
  std::set<BackendServerId> BackendServerIds() const;

  // The regions in which a pool has a backend server that is not leaving.
  std::vector<RegionId> RegionsOf(const PoolId& aPool) const;

private:
  struct State;
  std::unique_ptr<State> m_state;
};

} // namespace rattanweir

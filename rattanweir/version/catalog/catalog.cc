#include "rattanweir/version/catalog/catalog.h"

#include "rattanweir/version/catalog/internal/backend_server_index.h"
#include "rattanweir/version/catalog/internal/client_account_index.h"
#include "rattanweir/version/catalog/internal/key_index.h"
#include "rattanweir/version/catalog/internal/route_index.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rattanweir {
namespace {

// The state of one section apart from its parsed contents.
struct SectionState
{
  SectionStatus m_status;
  // The text in force, and the text of the newest rejected version.
  SectionText m_inForceText;
  std::string m_rejectedText;

  bool IsNewer(SectionVersion aVersion) const
  {
    return !m_status.m_inForce || aVersion > *m_status.m_inForce;
  }

  // Returns whether the offer repeats the newest rejected version. Peers relay
  // a faulty version repeatedly; this check avoids parsing it each time.
  bool WasRejected(const SectionOffer& aOffer) const
  {
    return m_status.m_rejected == aOffer.m_version &&
           m_rejectedText == aOffer.m_text.m_text;
  }

  void Accept(const SectionOffer& aOffer)
  {
    m_status.m_inForce = aOffer.m_version;
    m_inForceText = aOffer.m_text;
    ++m_status.m_acceptedCount;
    if (m_status.m_rejected && *m_status.m_rejected <= aOffer.m_version) {
      m_status.m_rejected.reset();
      m_status.m_faults.clear();
      m_rejectedText.clear();
    }
  }

  void Reject(const SectionOffer& aOffer, const SectionError& aError)
  {
    ++m_status.m_rejectedCount;
    if (m_status.m_rejected && *m_status.m_rejected > aOffer.m_version) {
      return;
    }
    m_status.m_rejected = aOffer.m_version;
    m_status.m_faults = aError.Faults();
    m_rejectedText = aOffer.m_text.m_text;
  }
};

} // namespace

struct Catalog::State
{
  std::map<SectionKind, SectionState> m_sections;
  internal::ClientAccountIndex m_clientAccounts;
  internal::KeyIndex m_keys;
  internal::RouteIndex m_routes;
  internal::BackendServerIndex m_backendServers;
  std::vector<std::function<void(SectionKind)>> m_onAccepted;

  // Parses the text and replaces the section's index. Throws SectionError and
  // changes nothing if the text has faults.
  void Replace(SectionKind aKind, const SectionText& aText)
  {
    switch (aKind) {
      case SectionKind::ClientAccounts:
        m_clientAccounts =
          internal::ClientAccountIndex(ParseClientAccounts(aText));
        return;
      case SectionKind::Keys:
        m_keys = internal::KeyIndex(ParseKeys(aText));
        return;
      case SectionKind::Routes:
        m_routes = internal::RouteIndex(ParseRoutes(aText));
        return;
      case SectionKind::BackendServers:
        m_backendServers =
          internal::BackendServerIndex(ParseBackendServers(aText));
        return;
    }
  }
};

Catalog::Catalog()
  : m_state(std::make_unique<State>())
{
  for (const SectionKind kind : kAllSectionKinds) {
    m_state->m_sections[kind].m_status.m_kind = kind;
  }
}

Catalog::~Catalog() = default;

OfferOutcome
Catalog::Offer(const SectionOffer& aOffer)
{
  SectionState& section = m_state->m_sections.at(aOffer.m_kind);
  if (!section.IsNewer(aOffer.m_version)) {
    const bool isSame = aOffer.m_version == *section.m_status.m_inForce;
    if (isSame && aOffer.m_text.m_text != section.m_inForceText.m_text) {
      ++section.m_status.m_conflictCount;
    }
    return OfferOutcome::NotNewer;
  }
  if (section.WasRejected(aOffer)) {
    return OfferOutcome::Rejected;
  }
  try {
    m_state->Replace(aOffer.m_kind, aOffer.m_text);
  } catch (const SectionError& error) {
    section.Reject(aOffer, error);
    return OfferOutcome::Rejected;
  }
  section.Accept(aOffer);
  for (const auto& function : m_state->m_onAccepted) {
    function(aOffer.m_kind);
  }
  return OfferOutcome::Accepted;
}

void
Catalog::OnAccepted(std::function<void(SectionKind)> aFunction)
{
  m_state->m_onAccepted.push_back(std::move(aFunction));
}

bool
Catalog::IsComplete() const
{
  return std::all_of(m_state->m_sections.begin(),
                     m_state->m_sections.end(),
                     [](const auto& aEntry) {
                       return aEntry.second.m_status.m_inForce.has_value();
                     });
}

SectionStatus
Catalog::Status(SectionKind aKind) const
{
  return m_state->m_sections.at(aKind).m_status;
}

std::optional<SectionOffer>
Catalog::InForce(SectionKind aKind) const
{
  const SectionState& section = m_state->m_sections.at(aKind);
  if (!section.m_status.m_inForce) {
    return std::nullopt;
  }
  return SectionOffer{ .m_kind = aKind,
                       .m_version = *section.m_status.m_inForce,
                       .m_text = section.m_inForceText };
}

const Route*
Catalog::FindRoute(const std::string& aPath,
                   const std::optional<ModelId>& aModel) const
{
  return m_state->m_routes.Find(aPath, aModel);
}

const Route*
Catalog::FindRoute(const RouteId& aId) const
{
  return m_state->m_routes.Find(aId);
}

const KeyGrant*
Catalog::FindKey(const std::string& aPresentedKey) const
{
  return m_state->m_keys.FindPresented(aPresentedKey);
}

bool
Catalog::IsGranted(const KeyId& aKey, const ClientAccountId& aAccount) const
{
  const KeyGrant* grant = m_state->m_keys.Find(aKey);
  return grant != nullptr && grant->m_clientAccount == aAccount;
}

const ClientAccount*
Catalog::FindClientAccount(const ClientAccountId& aId) const
{
  return m_state->m_clientAccounts.Find(aId);
}

const ClientAccountsSection&
Catalog::ClientAccounts() const
{
  return m_state->m_clientAccounts.Section();
}

std::vector<const BackendServer*>
Catalog::BackendServersOf(const PoolId& aPool, const RegionId& aRegion) const
{
  return m_state->m_backendServers.ServersOf(aPool, aRegion);
}

std::set<BackendServerId>
Catalog::BackendServerIds() const
{
  return m_state->m_backendServers.Ids();
}

std::vector<RegionId>
Catalog::RegionsOf(const PoolId& aPool) const
{
  return m_state->m_backendServers.RegionsOf(aPool);
}

} // namespace rattanweir

// Indexes the client accounts of one section version by id.

#pragma once

#include "rattanweir/version/section/section.h"

#include <unordered_map>
#include <utility>

namespace rattanweir::internal {

class ClientAccountIndex
{
public:
  ClientAccountIndex() = default;
  explicit ClientAccountIndex(ClientAccountsSection aSection)
    : m_section(std::move(aSection))
  {
    for (const ClientAccount& account : m_section.m_clientAccounts) {
      m_byId.emplace(account.m_id, &account);
    }
  }
  // Move-only: the map points to the section's elements, whose addresses
  // survive a move but not a copy.
  ClientAccountIndex(const ClientAccountIndex&) = delete;
  ClientAccountIndex& operator=(const ClientAccountIndex&) = delete;
  ClientAccountIndex(ClientAccountIndex&&) = default;
  ClientAccountIndex& operator=(ClientAccountIndex&&) = default;

  const ClientAccountsSection& Section() const { return m_section; }

  const ClientAccount* Find(const ClientAccountId& aId) const
  {
    const auto found = m_byId.find(aId);
    return found == m_byId.end() ? nullptr : found->second;
  }

private:
  ClientAccountsSection m_section;
  std::unordered_map<ClientAccountId, const ClientAccount*> m_byId;
};

} // namespace rattanweir::internal

// Users' platform (settings with `fleet`): what a crash of a backend server may
// be blamed on, as keys that are the same at all instances.
//
//   Suspects suspects = { PromptPartSuspect(partId) };
//   suspects.push_back(RequestSuspect({ .m_account = account, ... }));

#pragma once

#include "rattanweir/base/ids/ids.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanweir {

enum class SuspectKind : std::uint8_t
{
  // A part of a prompt, whatever precedes it.
  PromptPart,
  // A whole request.
  Request,
};

inline constexpr std::size_t kSuspectKinds = 2;

struct Suspect
{
  SuspectKind m_kind = SuspectKind::PromptPart;
  // The same for all requests of one client account; 0 for prompt parts.
  std::uint32_t m_owner = 0;
  std::uint64_t m_hash = 0;

  auto operator<=>(const Suspect&) const = default;
};

using Suspects = std::vector<Suspect>;

// Returns the suspect for the prompt part with this id.
Suspect
PromptPartSuspect(std::string_view aId);

// What makes two requests the same request: neither the request id nor the
// deadline.
struct RequestIdentity
{
  const ClientAccountId& m_account;
  std::string_view m_method;
  std::string_view m_host;
  // Path and query.
  std::string_view m_target;
  std::string_view m_body;
};

// Returns the suspect for the request. The hash is SHA-256, so that a caller
// cannot construct a request with the key of another one. Throws
// std::runtime_error if OpenSSL fails.
Suspect
RequestSuspect(const RequestIdentity& aIdentity);

// Returns the key as it appears in logs and reports, in hexadecimal.
std::string
SuspectText(const Suspect& aSuspect);

// Returns the name of the kind in logs: `prompt_part` or `request`.
std::string_view
KindText(SuspectKind aKind);

} // namespace rattanweir

// Indexes the keys of one section version by id and by SHA-256 digest.

#pragma once

#include "rattanweir/version/section/section.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace rattanweir::internal {

using KeyDigest = std::array<unsigned char, 32>;

// Returns the SHA-256 of a presented key. Throws std::runtime_error if OpenSSL
// fails.
KeyDigest
DigestOf(const std::string& aPresentedKey);

class KeyIndex
{
public:
  KeyIndex() = default;
  explicit KeyIndex(KeysSection aSection);
  KeyIndex(const KeyIndex&) = delete;
  KeyIndex& operator=(const KeyIndex&) = delete;
  KeyIndex(KeyIndex&&) = default;
  KeyIndex& operator=(KeyIndex&&) = default;

  const KeyGrant* Find(const KeyId& aId) const;

  // Returns the grant of a presented key, or null. Looks up the digest by its
  // first 8 bytes and compares the complete digests in constant time. Timing
  // may reveal which bucket was hit, but that is of no use to an attacker:
  // finding a key for a chosen digest would require inverting SHA-256.
  const KeyGrant* FindPresented(const std::string& aPresentedKey) const;

private:
  struct Entry
  {
    KeyDigest m_digest;
    const KeyGrant* m_grant;
  };

  KeysSection m_section;
  std::unordered_map<KeyId, const KeyGrant*> m_byId;
  std::unordered_multimap<std::uint64_t, Entry> m_byDigest;
};

} // namespace rattanweir::internal

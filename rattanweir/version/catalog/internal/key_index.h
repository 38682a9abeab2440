// The keys of one version, found by their id or by what a caller presents.

#pragma once

#include "rattanweir/version/section/section.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace rattanweir::internal {

using KeyDigest = std::array<unsigned char, 32>;

// The SHA-256 of a presented key. Throws std::runtime_error if the library
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

  // The digests are looked up by their first bytes and then compared whole in
  // constant time. Which bucket a digest meets tells a caller nothing useful:
  // finding a key for a wanted digest means to invert SHA-256.
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

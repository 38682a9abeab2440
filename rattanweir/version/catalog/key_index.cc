#include "rattanweir/version/catalog/internal/key_index.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <charconv>
#include <cstring>
#include <stdexcept>

namespace rattanweir::internal {
namespace {

constexpr int kHexadecimal = 16;

// Converts a hash that has been validated as 64 hexadecimal digits.
KeyDigest
DigestFromHex(const KeyHash& aHash)
{
  KeyDigest digest{};
  const char* digits = aHash.m_hex.data();
  for (unsigned char& byte : digest) {
    std::from_chars(digits, digits + 2, byte, kHexadecimal);
    digits += 2;
  }
  return digest;
}

std::uint64_t
BucketKey(const KeyDigest& aDigest)
{
  std::uint64_t bucket = 0;
  std::memcpy(&bucket, aDigest.data(), sizeof(bucket));
  return bucket;
}

} // namespace

KeyDigest
DigestOf(const std::string& aPresentedKey)
{
  KeyDigest digest{};
  unsigned int size = 0;
  const int result = EVP_Digest(aPresentedKey.data(),
                                aPresentedKey.size(),
                                digest.data(),
                                &size,
                                EVP_sha256(),
                                nullptr);
  if (result != 1 || size != digest.size()) {
    throw std::runtime_error("SHA-256 computation failed");
  }
  return digest;
}

KeyIndex::KeyIndex(KeysSection aSection)
  : m_section(std::move(aSection))
{
  for (const KeyGrant& grant : m_section.m_keys) {
    const KeyDigest digest = DigestFromHex(grant.m_hash);
    m_byId.emplace(grant.m_id, &grant);
    m_byDigest.emplace(BucketKey(digest),
                       Entry{ .m_digest = digest, .m_grant = &grant });
  }
}

const KeyGrant*
KeyIndex::Find(const KeyId& aId) const
{
  const auto found = m_byId.find(aId);
  return found == m_byId.end() ? nullptr : found->second;
}

const KeyGrant*
KeyIndex::FindPresented(const std::string& aPresentedKey) const
{
  const KeyDigest presented = DigestOf(aPresentedKey);
  const KeyGrant* grant = nullptr;
  const auto [first, last] = m_byDigest.equal_range(BucketKey(presented));
  for (auto entry = first; entry != last; ++entry) {
    const KeyDigest& known = entry->second.m_digest;
    if (CRYPTO_memcmp(known.data(), presented.data(), known.size()) == 0) {
      grant = entry->second.m_grant;
    }
  }
  return grant;
}

} // namespace rattanweir::internal

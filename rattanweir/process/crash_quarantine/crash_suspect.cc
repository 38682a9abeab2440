#include "rattanweir/process/crash_quarantine/crash_suspect.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <memory>
#include <stdexcept>

namespace rattanweir {
namespace {

struct DigestDeleter
{
  void operator()(EVP_MD_CTX* aContext) const { EVP_MD_CTX_free(aContext); }
};

// Hashes a sequence of texts, each preceded by its length.
class Sha256
{
public:
  Sha256()
  {
    // A lookup of the algorithm for each hash would cost more than the hash of
    // a short request.
    static const EVP_MD* const algorithm =
      EVP_MD_fetch(nullptr, "SHA256", nullptr);
    Check(EVP_DigestInit_ex(m_context.get(), algorithm, nullptr));
  }

  void Add(std::string_view aText)
  {
    const std::uint64_t size = aText.size();
    Check(EVP_DigestUpdate(m_context.get(), &size, sizeof(size)));
    Check(EVP_DigestUpdate(m_context.get(), aText.data(), aText.size()));
  }

  // Returns the first 64 bits of the hash.
  std::uint64_t Finish()
  {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    Check(EVP_DigestFinal_ex(m_context.get(), digest.data(), nullptr));
    std::uint64_t hash = 0;
    std::memcpy(&hash, digest.data(), sizeof(hash));
    return hash;
  }

private:
  static void Check(int aResult)
  {
    if (aResult != 1) {
      throw std::runtime_error("SHA-256 computation failed");
    }
  }

  std::unique_ptr<EVP_MD_CTX, DigestDeleter> m_context{ EVP_MD_CTX_new() };
};

} // namespace

Suspect
PromptPartSuspect(std::string_view aId)
{
  return { .m_kind = SuspectKind::PromptPart,
           .m_hash = XXH64(aId.data(), aId.size(), 0) };
}

Suspect
RequestSuspect(const RequestIdentity& aIdentity)
{
  const std::string& account = aIdentity.m_account.Value();
  Sha256 hash;
  for (const std::string_view text : { std::string_view(account),
                                       aIdentity.m_method,
                                       aIdentity.m_host,
                                       aIdentity.m_target,
                                       aIdentity.m_body }) {
    hash.Add(text);
  }
  return { .m_kind = SuspectKind::Request,
           .m_owner = XXH32(account.data(), account.size(), 0),
           .m_hash = hash.Finish() };
}

std::string
SuspectText(const Suspect& aSuspect)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx",
                static_cast<unsigned long long>(aSuspect.m_hash));
  return text.data();
}

std::string_view
KindText(SuspectKind aKind)
{
  return aKind == SuspectKind::PromptPart ? "prompt_part" : "request";
}

} // namespace rattanweir

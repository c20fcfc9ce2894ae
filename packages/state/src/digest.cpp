#include "shuntjunction/state/digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace shuntjunction::state {

namespace {

std::string
ToHex(const unsigned char* aBytes, std::size_t aCount)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aCount * 2);
  for (std::size_t i = 0; i < aCount; ++i) {
    text += kDigits[aBytes[i] >> 4U];
    text += kDigits[aBytes[i] & 15U];
  }
  return text;
}

} // namespace

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(
    aText.data(), aText.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return ToHex(digest.data(), size);
}

std::string
HmacSha256Hex(std::string_view aKey, std::string_view aText)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest.data(),
       &size);
  return ToHex(digest.data(), size);
}

bool
EqualDigests(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string
RandomNonce()
{
  std::array<unsigned char, 16> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return ToHex(bytes.data(), bytes.size());
}

} // namespace shuntjunction::state

#include "skylarkwind/hash.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace skylarkwind {

namespace {

std::string
ToHex(std::span<const unsigned char> aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const unsigned char byte : aBytes) {
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 0xFU]);
  }
  return text;
}

} // namespace

std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

std::string
Sha256Hex(std::string_view aData)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aData.data()), aData.size(), digest.data());
  return ToHex(digest);
}

std::string
HmacSha256Hex(std::string_view aKey, std::string_view aData)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aData.data()),
       aData.size(),
       digest.data(),
       &length);
  return ToHex(std::span{ digest }.first(length));
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aNode)
{
  return Hash64(aNode, Hash64(aKey));
}

} // namespace skylarkwind

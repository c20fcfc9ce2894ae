#pragma once

#include <string>
#include <string_view>

/// Cryptographic digests, using OpenSSL.
namespace shuntjunction::state {

/// SHA-256 of a string, as 64 hex digits.
std::string
Sha256Hex(std::string_view aText);

/// HMAC-SHA-256 of a string under a key, as 64 hex digits.
std::string
HmacSha256Hex(std::string_view aKey, std::string_view aText);

/// Whether two digests are equal, in time that does not depend on their
/// content.
bool
EqualDigests(std::string_view aLeft, std::string_view aRight);

/// 128 random bits from the operating system, as 32 hex digits.
std::string
RandomNonce();

} // namespace shuntjunction::state

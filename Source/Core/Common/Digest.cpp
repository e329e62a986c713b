#include "Common/Digest.h"

#include <cstdlib>

#include <openssl/evp.h>

namespace pollenyoke
{

namespace
{

constexpr std::string_view hex_digits = "0123456789abcdef";

int hex_value(char c)
{
  const auto position = hex_digits.find(c);
  return position == std::string_view::npos ? -1 : static_cast<int>(position);
}

} // namespace

struct sha256_hasher::context
{
  EVP_MD_CTX* handle = EVP_MD_CTX_new();

  context()
  {
    if (handle == nullptr || EVP_DigestInit_ex(handle, EVP_sha256(), nullptr) != 1)
    {
      std::abort();
    }
  }
  ~context()
  {
    EVP_MD_CTX_free(handle);
  }
  context(const context&) = delete;
  context& operator=(const context&) = delete;
  context(context&&) = delete;
  context& operator=(context&&) = delete;
};

sha256_hasher::sha256_hasher() : m_context(std::make_unique<context>()) {}
sha256_hasher::~sha256_hasher() = default;
sha256_hasher::sha256_hasher(sha256_hasher&&) noexcept = default;
sha256_hasher& sha256_hasher::operator=(sha256_hasher&&) noexcept = default;

void sha256_hasher::update(std::span<const std::byte> data)
{
  EVP_DigestUpdate(m_context->handle, data.data(), data.size());
}

void sha256_hasher::update(std::string_view data)
{
  update(std::as_bytes(std::span(data.data(), data.size())));
}

digest sha256_hasher::finish()
{
  digest value;
  EVP_DigestFinal_ex(m_context->handle, value.bytes.data(), nullptr);
  return value;
}

digest sha256(std::span<const std::byte> data)
{
  sha256_hasher hasher;
  hasher.update(data);
  return hasher.finish();
}

digest sha256(std::string_view data)
{
  return sha256(std::as_bytes(std::span(data.data(), data.size())));
}

std::string to_hex(const digest& value)
{
  std::string text;
  text.reserve(2 * value.bytes.size());
  for (const std::uint8_t byte : value.bytes)
  {
    text.push_back(hex_digits[byte >> 4U]);
    text.push_back(hex_digits[byte & 0x0FU]);
  }
  return text;
}

result<digest> parse_digest(std::string_view hex)
{
  digest value;
  if (hex.size() != 2 * value.bytes.size())
  {
    return fail(error_code::malformed, "digest must have 64 hex digits");
  }
  for (std::size_t i = 0; i < value.bytes.size(); ++i)
  {
    const int high = hex_value(hex[2 * i]);
    const int low = hex_value(hex[2 * i + 1]);
    if (high < 0 || low < 0)
    {
      return fail(error_code::malformed, "digest must have 64 lower-case hex digits");
    }
    value.bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return value;
}

} // namespace pollenyoke

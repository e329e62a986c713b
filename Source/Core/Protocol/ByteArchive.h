#pragma once

#include <cstddef>
#include <cstdint>
#include <cstring>
#include <exception>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <cereal/cereal.hpp>

#include "Common/Result.h"

namespace pollenyoke::protocol
{

struct decode_error : cereal::Exception
{
  using cereal::Exception::Exception;
};

// cereal's own binary archives read from streams and trust the sizes in their input. These read
// from a span and check each container size against the bytes that remain.
class byte_writer : public cereal::OutputArchive<byte_writer, cereal::AllowEmptyClassElision>
{
public:
  explicit byte_writer(std::vector<std::byte>& out) : OutputArchive(this), m_out(out) {}

  void write(const void* data, std::size_t size)
  {
    if (size == 0)
    {
      return;
    }
    const auto old_size = m_out.size();
    m_out.resize(old_size + size);
    std::memcpy(m_out.data() + old_size, data, size);
  }

private:
  std::vector<std::byte>& m_out;
};

class byte_reader : public cereal::InputArchive<byte_reader, cereal::AllowEmptyClassElision>
{
public:
  explicit byte_reader(std::span<const std::byte> in) : InputArchive(this), m_in(in) {}

  void read(void* data, std::size_t size)
  {
    require(size);
    if (size != 0)
    {
      std::memcpy(data, m_in.data(), size);
      m_in = m_in.subspan(size);
    }
  }

  /// Every element takes at least one byte on the wire.
  void require(std::uint64_t size) const
  {
    if (size > m_in.size())
    {
      throw decode_error("size exceeds the remaining bytes");
    }
  }

  bool empty() const
  {
    return m_in.empty();
  }

private:
  std::span<const std::byte> m_in;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(byte_writer& archive, const T& value)
{
  archive.write(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(byte_reader& archive, T& value)
{
  if constexpr (std::is_same_v<T, bool>)
  {
    std::uint8_t byte = 0;
    archive.read(&byte, 1);
    value = byte != 0;
  }
  else
  {
    archive.read(&value, sizeof(value));
  }
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(byte_writer& archive, const cereal::BinaryData<T>& data)
{
  archive.write(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(byte_reader& archive, cereal::BinaryData<T>& data)
{
  archive.read(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(byte_writer& archive, const cereal::SizeTag<T>& tag)
{
  const auto size = static_cast<std::uint32_t>(tag.size);
  archive.write(&size, sizeof(size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(byte_reader& archive, cereal::SizeTag<T>& tag)
{
  std::uint32_t size = 0;
  archive.read(&size, sizeof(size));
  archive.require(size);
  tag.size = size;
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(byte_writer& archive, cereal::NameValuePair<T>& pair)
{
  archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(byte_reader& archive, cereal::NameValuePair<T>& pair)
{
  archive(pair.value);
}

template <typename T>
std::vector<std::byte> encode_bytes(const T& value)
{
  std::vector<std::byte> out;
  byte_writer archive(out);
  archive(value);
  return out;
}

/// Error `malformed`: a size that does not fit the remaining bytes, or trailing bytes.
template <typename T>
result<T> decode_bytes(std::span<const std::byte> in)
{
  try
  {
    T value;
    byte_reader archive(in);
    archive(value);
    if (!archive.empty())
    {
      return fail(error_code::malformed, "trailing bytes after the message");
    }
    return value;
  }
  catch (const std::exception& e)
  {
    return fail(error_code::malformed, e.what());
  }
}

/// The same for transports whose messages are strings.
template <typename T>
std::string encode_text(const T& value)
{
  const auto bytes = encode_bytes(value);
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

template <typename T>
result<T> decode_text(std::string_view in)
{
  return decode_bytes<T>(std::as_bytes(std::span(in)));
}

} // namespace pollenyoke::protocol

CEREAL_REGISTER_ARCHIVE(pollenyoke::protocol::byte_writer)
CEREAL_REGISTER_ARCHIVE(pollenyoke::protocol::byte_reader)
CEREAL_SETUP_ARCHIVE_TRAITS(pollenyoke::protocol::byte_reader, pollenyoke::protocol::byte_writer)

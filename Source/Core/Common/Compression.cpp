#include "Common/Compression.h"

#include <algorithm>
#include <array>

#include <zlib.h>

namespace pollenyoke
{

namespace
{

constexpr std::size_t output_step_bytes = 65536;

/// zlib's interface takes mutable bytes but does not write to its input.
Bytef* input_of(std::string_view data)
{
  return reinterpret_cast<Bytef*>(const_cast<char*>(data.data()));
}

} // namespace

std::string compress(std::string_view data)
{
  auto size = compressBound(static_cast<uLong>(data.size()));
  std::string out(size, '\0');
  // Fails only if memory runs out or the buffer is too small.
  const int status = compress2(reinterpret_cast<Bytef*>(out.data()), &size, input_of(data),
                               static_cast<uLong>(data.size()), Z_BEST_SPEED);
  out.resize(status == Z_OK ? size : 0);
  return out;
}

result<std::string> decompress(std::string_view data, std::size_t max_bytes)
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK)
  {
    return fail(error_code::limit_exceeded, "no memory to decompress");
  }
  stream.next_in = input_of(data);
  stream.avail_in = static_cast<uInt>(data.size());
  std::string out;
  std::array<char, output_step_bytes> step{};
  int status = Z_OK;
  while (status == Z_OK && out.size() <= max_bytes)
  {
    stream.next_out = reinterpret_cast<Bytef*>(step.data());
    stream.avail_out = static_cast<uInt>(step.size());
    status = inflate(&stream, Z_NO_FLUSH);
    out.append(step.data(), step.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (out.size() > max_bytes)
  {
    return fail(error_code::limit_exceeded, "compressed data is too large");
  }
  if (status != Z_STREAM_END)
  {
    return fail(error_code::malformed, "compressed data cannot be read");
  }
  return out;
}

} // namespace pollenyoke

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Digest.h"
#include "Common/Result.h"
#include "Protocol/ServingModel.h"
#include "Rollout/WeightParts.h"

namespace pollenyoke::rollout
{

/// Pieces of one version of a model that this host holds, each verified against its digest.
class piece_set
{
public:
  /// Fails if a digest in the manifest cannot be parsed.
  static result<piece_set> make(const protocol::piece_manifest& manifest);

  const std::string& model() const;
  std::uint64_t version() const;
  std::uint32_t size() const;
  std::uint32_t held() const;
  bool is_complete() const;
  bool holds(const piece_range& range) const;
  /// False if the bytes do not match the digest of the piece, or if there is no such piece.
  bool matches(std::uint32_t piece, std::string_view bytes) const;
  /// Stores the piece if it matches its digest.
  bool put(std::uint32_t piece, std::string bytes);
  /// Null if the piece is not held.
  const std::string* get(std::uint32_t piece) const;
  /// Takes the digests of a newer manifest for the same version and drops pieces that do not match.
  void replace_digests(const piece_set& other);

private:
  std::string m_model;
  std::uint64_t m_version = 0;
  std::vector<digest> m_digests;
  std::vector<std::optional<std::string>> m_pieces;
  std::uint32_t m_held = 0;
};

} // namespace pollenyoke::rollout

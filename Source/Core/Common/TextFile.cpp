#include "Common/TextFile.h"

#include <fstream>
#include <sstream>
#include <utility>

namespace pollenyoke
{

result<std::string> read_text_file(const std::string& path)
{
  std::ifstream file(path);
  if (!file)
  {
    return fail(error_code::not_found, "cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

} // namespace pollenyoke

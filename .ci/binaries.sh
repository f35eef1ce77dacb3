#!/usr/bin/env bash
# Checks that no built binary is committed: no tracked file is an ELF file, and none is larger than
# 5 MB, except documents and the text in journal/.
set -euo pipefail
cd "$(dirname "$0")/.."
status=0
limit=$((5 * 1000 * 1000))

mapfile -d '' -t files < <(git ls-files -z)
if [ "${#files[@]}" -eq 0 ]; then
  echo "git lists no files"
  exit 1
fi

for file in "${files[@]}"; do
  if [ -L "$file" ] || [ ! -f "$file" ]; then
    continue
  fi
  magic=''
  LC_ALL=C IFS= read -r -N 4 magic <"$file" 2>/dev/null || true
  if [ "$magic" = $'\x7fELF' ]; then
    echo "$file: a built binary"
    status=1
  fi
done

while IFS= read -r -d '' line; do
  size=${line%% *} file=${line#* }
  if [ "$size" -le "$limit" ]; then
    continue
  fi
  case $file in
    *.md | *.txt | *.pdf | *.svg) continue ;;
    journal/*) if grep -Iq . "$file"; then continue; fi ;;
  esac
  echo "$file: $size bytes, at most $limit are allowed"
  status=1
done < <(printf '%s\0' "${files[@]}" | xargs -0 stat --printf '%s %n\0')
exit $status

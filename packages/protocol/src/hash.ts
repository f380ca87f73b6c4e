/** The hash by which jobs are spread over shards and job pages. It must never change: stored records follow it. */

/** FNV-1a (32 bits) of the text's UTF-16 units; all versions of the program have to agree on it. */
export const hashText = (text: string): number => {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  return hash >>> 0
}

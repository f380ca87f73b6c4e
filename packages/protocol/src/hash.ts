/** Hash that assigns jobs to shards and job pages. It must never change: stored records depend on it. */

/** 32-bit FNV-1a over the UTF-16 code units of a text. Must be identical in all versions of the program. */
export const hashText = (text: string): number => {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  return hash >>> 0
}

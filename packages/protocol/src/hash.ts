/** FNV-1a; any even spread will do, as long as every version of the program agrees on it. */
export const hashText = (text: string): number => {
  let hash = 0x811c9dc5
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193)
  return hash >>> 0
}

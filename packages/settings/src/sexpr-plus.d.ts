/** Type declarations of `sexpr-plus`, which ships none: only the parts used here. */
declare module "sexpr-plus" {
  export interface Location {
    readonly start: { readonly line: number; readonly column: number }
  }
  export type Form =
    | { readonly type: "list"; readonly content: ReadonlyArray<Form>; readonly location: Location }
    | { readonly type: "atom" | "string"; readonly content: string; readonly location: Location }
  export const parse: (text: string) => ReadonlyArray<Form>
}
